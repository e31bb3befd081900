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

  //! Queues an attempt; OnEnded is called once with its outcome.
  void Begin(std::shared_ptr<Exchange> aExchange,
             const decision::SendRequest& aSend);
  //! Continues a transfer that was paused because its caller reads slowly.
  void Unpause(base::RequestId aRequest);
  //! Ends the thread; attempts still running get no OnEnded call.
  void Stop();

private:
  struct Command
  {
    std::shared_ptr<Exchange> exchange; //!< null: continue the paused transfer
    decision::SendRequest send;
  };

  void Run();
  void ProcessCommands();
  void Start(Command& aCommand);
  void OpenTry(Transfer& aTransfer);
  void ProcessCompletions();
  void AbortStalled();
  void StartDueResumes();
  void EndTry(Transfer& aTransfer, CURLcode aResult, bool aStalled);
  void Close(Transfer& aTransfer);
  void CancelStream(const Transfer& aTransfer);

  metrics::Metrics& m_metrics;
  OnEnded m_onEnded;
  CURLM* m_multi;
  std::atomic<bool> m_stop{ false };
  std::mutex m_mutex;
  std::vector<Command> m_commands;
  std::map<base::RequestId, std::unique_ptr<Transfer>> m_transfers;
  std::vector<base::RequestId> m_resuming;
  std::thread m_thread;
};

}
