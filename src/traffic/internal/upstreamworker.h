#pragma once

#include "decision/decisiontypes.h"
#include "traffic/internal/exchange.h"

#include <curl/curl.h>

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace hemlockgauge::metrics {
class Metrics;
}

namespace hemlockgauge::traffic {

class Transfer;

//! A thread that sends requests to upstreams and reads the answers, with
//! libcurl's multi interface.
class UpstreamWorker
{
public:
  using OnEnded = std::function<void(const decision::AttemptEnded& aEnded)>;

  UpstreamWorker(metrics::Metrics& aMetrics, OnEnded aOnEnded);
  ~UpstreamWorker();
  UpstreamWorker(const UpstreamWorker&) = delete;
  UpstreamWorker& operator=(const UpstreamWorker&) = delete;

  void Begin(std::shared_ptr<Exchange> aExchange,
             const decision::SendRequest& aSend);
  void Unpause(base::RequestId aRequest);
  void Stop();

private:
  struct Order
  {
    std::shared_ptr<Exchange> exchange; //!< null: continue the paused transfer
    decision::SendRequest send;
  };

  void Run();
  void TakeOrders();
  void Start(Order& aOrder);
  void OpenTry(Transfer& aTransfer);
  void TakeMessages();
  void StopStalled();
  void ResumeDue();
  void EndTry(Transfer& aTransfer, CURLcode aResult, bool aStalled);
  void Close(Transfer& aTransfer);
  void CancelStream(const Transfer& aTransfer);

  metrics::Metrics& m_metrics;
  OnEnded m_onEnded;
  CURLM* m_multi;
  std::atomic<bool> m_stop{ false };
  std::mutex m_mutex;
  std::vector<Order> m_orders;
  std::map<base::RequestId, std::unique_ptr<Transfer>> m_transfers;
  std::vector<base::RequestId> m_resuming;
  std::thread m_thread;
};

}
