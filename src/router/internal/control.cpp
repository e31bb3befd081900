#include "router/internal/control.h"

#include "base/logline.h"
#include "decision/decisionconstants.h"
#include "peer/ipeertransport.h"
#include "platform/iplatformclient.h"
#include "router/internal/adminpages.h"
#include "timer/itimerservice.h"

#include <ace/Reactor.h>

#include <fmt/format.h>

namespace hemlockgauge::router {

using base::LogLine;

namespace {

constexpr int kTicksPerStatusUpdate = 5;
constexpr int kExitRequestsAborted = 2;
std::atomic<int> stopRequests{ 0 };

decision::CoreSettings
CoreSettingsOf(const document::RouterSettings& aSettings,
               std::uint32_t aIncarnation)
{
  decision::CoreSettings settings;
  settings.self.name = aSettings.id;
  settings.self.role = decision::HostRole::Router;
  settings.self.zone = aSettings.zone;
  settings.self.address = aSettings.adminListen;
  settings.self.peerAddress = aSettings.peerListen;
  settings.incarnation = aIncarnation;
  settings.seedAddresses = aSettings.seeds;
  settings.policy = aSettings.policy;
  settings.randomSeed = aIncarnation;
  return settings;
}

}

Control::Control(const document::RouterSettings& aSettings,
                 std::uint32_t aIncarnation,
                 const ControlServices& aServices)
  : m_settings(aSettings)
  , m_services(aServices)
  , m_log(fmt::format("{}-{:x}-", aSettings.id, aIncarnation))
  , m_core(CoreSettingsOf(aSettings, aIncarnation))
  , m_status(std::make_shared<const decision::CoreStatus>())
{
}

Control::~Control() = default;

void
Control::RequestStop()
{
  stopRequests++;
}

void
Control::Start()
{
  m_services.peers.Listen(
    m_settings.peerListen,
    [this](decision::Frame aFrame, std::size_t aBytes) {
      Step(decision::FrameReceived{ std::move(aFrame), aBytes });
    },
    [this](decision::RouterId aRouter) {
      Post(decision::LinkLost{ aRouter });
    });
  m_services.traffic.Start(*this);
  m_services.timers.SchedulePeriodic(decision::kTickInterval,
                                     [this] { Tick(); });
  m_services.platform.Start(
    [this](decision::Event aEvent) { Post(std::move(aEvent)); });
}

int
Control::Run()
{
  while (!m_finished) {
    m_services.reactor.handle_events();
  }
  return m_exitCode;
}

void
Control::Post(decision::Event aEvent)
{
  bool notify = false;
  {
    const std::lock_guard lock(m_mutex);
    m_inbox.push_back(std::move(aEvent));
    notify = !m_notified;
    m_notified = true;
  }
  if (notify) {
    m_services.reactor.notify(this, ACE_Event_Handler::EXCEPT_MASK);
  }
}

int
Control::handle_exception(ACE_HANDLE)
{
  std::vector<decision::Event> events;
  {
    const std::lock_guard lock(m_mutex);
    events.swap(m_inbox);
    m_notified = false;
  }
  for (const auto& event : events) {
    Step(event);
  }
  return 0;
}

void
Control::Step(const decision::Event& aEvent)
{
  const auto actions = m_core.Step(m_services.timers.Now(), aEvent);
  for (const auto& action : actions) {
    std::visit([this](const auto& aOne) { Execute(aOne); }, action);
  }
}

void
Control::Tick()
{
  Step(decision::Tick{});
  if (++m_ticks % kTicksPerStatusUpdate == 0) {
    PublishStatus();
  }
  AdvanceStop();
  base::FlushLog();
}

//! Advances a graceful stop. First signal: refuses queued requests, reports not
//! ready for drainNotice so that the load balancer notices, closes the listener
//! and ends after the last answer. After a second signal or stopTimeout: aborts
//! the remaining requests and logs their number.
void
Control::AdvanceStop()
{
  const int requests = stopRequests;
  if (requests == 0) {
    return;
  }
  const auto now = m_services.timers.Now();
  if (!m_stopping) {
    m_stopping = true;
    m_stopAt = now;
    m_ready = false;
    LogLine("drain-started").Info();
    Step(decision::DrainStarted{});
  }
  const bool noticed = now - m_stopAt >= m_settings.drainNotice;
  if (noticed && !m_listenerClosed) {
    m_listenerClosed = true;
    m_services.traffic.CloseListener();
    LogLine("listener-closed").Info();
  }
  const bool done =
    m_listenerClosed && m_drained && m_services.traffic.IsDrained();
  const bool mustCut = requests > 1 || now - m_stopAt >= m_settings.stopTimeout;
  if (!done && !mustCut) {
    return;
  }
  const auto aborted = m_services.traffic.Stop();
  LogLine("stopped")
    .Add("requests_cut", static_cast<std::uint64_t>(aborted))
    .Info();
  m_exitCode = aborted == 0 ? 0 : kExitRequestsAborted;
  m_finished = true;
}

void
Control::PublishStatus()
{
  auto status = std::make_shared<const decision::CoreStatus>(m_core.Status());
  const auto& counters = status->counters;
  const auto set = [&](const char* aName, std::uint64_t aValue) {
    m_services.metrics.Set(aName, static_cast<double>(aValue));
  };
  set("queued", status->queued);
  set("running", status->running);
  set("control_bytes_sent", counters.bytesSent);
  set("control_bytes_received", counters.bytesReceived);
  set("control_frames_deferred", counters.framesDeferred);
  set("invariants_broken", counters.invariantsBroken);
  set("bad_frames", m_services.peers.BadFrames());
  const std::lock_guard lock(m_statusMutex);
  m_status = std::move(status);
}

traffic::AdminPage
Control::StatusPage()
{
  std::shared_ptr<const decision::CoreStatus> status;
  {
    const std::lock_guard lock(m_statusMutex);
    status = m_status;
  }
  return {
    200,
    "application/json",
    StatusJson(*status, m_settings.id, m_ready, m_services.platform.AnswerAge())
  };
}

traffic::AdminPage
Control::RenderAdminPage(const std::string& aPath, const std::string& aQuery)
{
  if (aPath == "/metrics") {
    return { 200, "text/plain; version=0.0.4", m_services.metrics.Text() };
  }
  if (aPath == "/healthz") {
    return { 200, "text/plain", "ok\n" };
  }
  if (aPath == "/readyz") {
    return { m_ready ? 200 : 503, "text/plain", m_ready ? "ready\n" : "no\n" };
  }
  if (aPath == "/status") {
    return StatusPage();
  }
  constexpr std::string_view kId = "id=";
  if (aPath == "/explain" && aQuery.starts_with(kId)) {
    const auto id = aQuery.substr(kId.size());
    const auto lines = m_log.Explain(id);
    return { lines.empty() ? 404 : 200,
             "application/json",
             ExplainJson(id, lines) };
  }
  return { 404, "text/plain", "no such page\n" };
}

void
Control::Execute(const decision::SendRequest& aAction)
{
  m_services.traffic.Send(aAction);
}

void
Control::Execute(const decision::RefuseRequest& aAction)
{
  m_services.traffic.Refuse(aAction);
}

void
Control::Execute(const decision::SendFrame& aAction)
{
  m_services.peers.Send(aAction.router, aAction.address, aAction.frame);
}

void
Control::Execute(const decision::DocumentInForce& aAction)
{
  LogLine("document-in-force")
    .Add("service", aAction.document->name)
    .Add("revision", aAction.revision)
    .Info();
  m_services.traffic.SetDocument(aAction);
  m_ready = !m_stopping;
}

void
Control::Execute(const decision::DocumentRefused& aAction)
{
  m_services.metrics.Count("documents_refused_total");
  LogLine("document-refused")
    .Add("service", aAction.name)
    .Add("revision", aAction.revision)
    .Add("why", aAction.why)
    .Error();
}

void
Control::Execute(const decision::WatchPlatform& aAction)
{
  LogLine("watch-platform").Add("on", aAction.on ? "yes" : "no").Info();
  m_services.platform.SetWatching(aAction.on);
}

void
Control::Execute(const decision::PollLoad& aAction)
{
  m_services.platform.PollLoad(aAction);
}

void
Control::Execute(const decision::CheckUpstream& aAction)
{
  m_services.platform.CheckUpstream(aAction);
}

void
Control::Execute(const decision::Drained&)
{
  m_drained = true;
  LogLine("drained").Info();
}

void
Control::Execute(const decision::DecisionRecord& aAction)
{
  m_services.metrics.Count(
    fmt::format("decisions_total{{kind=\"{}\"}}",
                decision::kDecisionKindNames.NameOf(aAction.kind)));
  m_log.Record(aAction);
}

}
