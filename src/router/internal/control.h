#pragma once

#include "decision/decisioncore.h"
#include "document/documenttypes.h"
#include "metrics/metrics.h"
#include "router/internal/decisionlog.h"
#include "traffic/itraffic.h"

#include <ace/Event_Handler.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

class ACE_Reactor;

namespace hemlockgauge::timer {
class ITimerService;
}
namespace hemlockgauge::peer {
class IPeerTransport;
}
namespace hemlockgauge::platform {
class IPlatformClient;
}

namespace hemlockgauge::router {

//! Services that Control uses; they must outlive it.
struct ControlServices
{
  ACE_Reactor& reactor;
  timer::ITimerService& timers;
  peer::IPeerTransport& peers;
  platform::IPlatformClient& platform;
  traffic::ITraffic& traffic;
  metrics::Metrics& metrics;
};

//! The control thread: passes events to the decision core and executes the
//! actions that the core returns.
class Control
  : public traffic::IControl
  , public ACE_Event_Handler
{
public:
  Control(const document::RouterSettings& aSettings,
          std::uint32_t aIncarnation,
          const ControlServices& aServices);
  ~Control() override;

  void Start();
  //! Runs the event loop until the router has stopped; returns the exit code.
  int Run();
  //! Starts a graceful stop; a second call aborts the requests still in
  //! progress. Async-signal-safe.
  static void RequestStop();

  void Post(decision::Event aEvent) override;
  bool IsReady() const override { return m_ready; }
  traffic::AdminPage RenderAdminPage(const std::string& aPath,
                                     const std::string& aQuery) override;

  int handle_exception(ACE_HANDLE aHandle) override;

private:
  void Step(const decision::Event& aEvent);
  void Tick();
  void AdvanceStop();
  void PublishStatus();
  traffic::AdminPage StatusPage();

  void Execute(const decision::SendRequest& aAction);
  void Execute(const decision::RefuseRequest& aAction);
  void Execute(const decision::SendFrame& aAction);
  void Execute(const decision::DocumentInForce& aAction);
  void Execute(const decision::DocumentRefused& aAction);
  void Execute(const decision::WatchPlatform& aAction);
  void Execute(const decision::PollLoad& aAction);
  void Execute(const decision::CheckUpstream& aAction);
  void Execute(const decision::Drained& aAction);
  void Execute(const decision::DecisionRecord& aAction);

  const document::RouterSettings& m_settings;
  ControlServices m_services;
  DecisionLog m_log;
  decision::DecisionCore m_core;
  std::mutex m_mutex;
  std::vector<decision::Event> m_inbox;
  bool m_notified = false;
  std::atomic<bool> m_ready{ false };
  std::mutex m_statusMutex;
  std::shared_ptr<const decision::CoreStatus> m_status;
  int m_ticks = 0;
  bool m_stopping = false;
  bool m_listenerClosed = false;
  bool m_drained = false;
  base::TimePoint m_stopAt{};
  int m_exitCode = 0;
  bool m_finished = false;
};

}
