#pragma once

#include "traffic/internal/callerserver.h"
#include "traffic/itraffic.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hemlockgauge::traffic {

class UpstreamWorker;

//! Owns the traffic threads of a router (caller server, upstream workers,
//! sweeper) and the requests in progress.
class TrafficPlane
  : public ITraffic
  , public IExchangeSink
{
public:
  TrafficPlane(const document::RouterSettings& aSettings,
               std::uint32_t aIncarnation,
               metrics::Metrics& aMetrics);
  ~TrafficPlane() override;

  void Start(IControl& aControl) override;
  void Send(const decision::SendRequest& aSend) override;
  void Refuse(const decision::RefuseRequest& aRefusal) override;
  void SetDocument(const decision::DocumentInForce& aDocument) override;
  void CloseListener() override;
  std::size_t ActiveRequestCount() const override;
  bool IsDrained() override;
  std::size_t Stop() override;

  std::shared_ptr<const RoutingTable> Table() const override;
  std::string NewRequestId(base::RequestId& aId) override;
  void Submit(std::shared_ptr<Exchange> aExchange) override;
  void CallerEnded(const std::shared_ptr<Exchange>& aExchange,
                   bool aEarly) override;

private:
  void AttemptEnded(const decision::AttemptEnded& aEnded);
  void RunSweeper();
  void Sweep();
  std::shared_ptr<Exchange> FindExchange(base::RequestId aRequest);

  document::RouterSettings m_settings;
  std::string m_idPrefix;
  metrics::Metrics& m_metrics;
  IControl* m_control = nullptr;
  std::atomic<std::uint64_t> m_nextId{ 1 };
  mutable std::mutex m_mutex;
  std::map<std::string, ServicePtr> m_services;
  std::shared_ptr<const RoutingTable> m_table;
  std::map<base::RequestId, std::shared_ptr<Exchange>> m_exchanges;
  std::vector<std::unique_ptr<UpstreamWorker>> m_workers;
  std::unique_ptr<CallerServer> m_server;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::optional<base::TimePoint> m_noConnectionsSince;
  std::thread m_sweeper;
};

}
