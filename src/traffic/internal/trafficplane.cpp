#include "traffic/internal/trafficplane.h"

#include "base/logline.h"
#include "base/monotonicclock.h"
#include "metrics/metrics.h"
#include "traffic/internal/upstreamworker.h"

#include <curl/curl.h>

#include <fmt/format.h>

namespace hemlockgauge::traffic {

using decision::RefusalReason;

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kSweepInterval = 100ms;
//! How long there must be no connection before the plane counts as drained. A
//! connection accepted right before the listener closed is counted by then.
constexpr base::Duration kDrainSettleTime = 50ms;

int
StatusOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::QueueFull:
    case RefusalReason::RateLimit:
      return 429;
    case RefusalReason::DeadlinePassed:
      return 504;
    case RefusalReason::RetriesSpent:
    case RefusalReason::UpstreamFailed:
    case RefusalReason::Broken:
      return 502;
    case RefusalReason::UnknownWorkspace:
      return 401;
    case RefusalReason::Draining:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::NoUpstream:
    case RefusalReason::Quarantined:
      break;
  }
  return 503;
}

quarantine::RequestFingerprint
FingerprintOf(const CallerRequest& aRequest)
{
  const auto target = aRequest.path + "?" + aRequest.query;
  return quarantine::FingerprintOf({ aRequest.workspace->name,
                                     aRequest.method,
                                     aRequest.service->name,
                                     target,
                                     aRequest.body });
}

}

TrafficPlane::TrafficPlane(const document::RouterSettings& aSettings,
                           std::uint32_t aIncarnation,
                           metrics::Metrics& aMetrics)
  : m_settings(aSettings)
  , m_idPrefix(fmt::format("{}-{:x}-", aSettings.id, aIncarnation))
  , m_metrics(aMetrics)
  , m_table(std::make_shared<const RoutingTable>(m_services))
{
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

TrafficPlane::~TrafficPlane()
{
  TrafficPlane::Stop();
}

void
TrafficPlane::Start(IControl& aControl)
{
  m_control = &aControl;
  for (std::uint32_t i = 0; i < m_settings.trafficThreads; ++i) {
    m_workers.push_back(std::make_unique<UpstreamWorker>(
      m_metrics,
      [this](const decision::AttemptEnded& aEnded) { AttemptEnded(aEnded); }));
  }
  m_server = std::make_unique<CallerServer>(
    m_settings,
    *this,
    aControl,
    m_metrics,
    std::make_shared<MemoryBudget>(m_settings.maxBufferedBytes));
  m_sweeper = std::thread([this] { RunSweeper(); });
}

std::shared_ptr<const RoutingTable>
TrafficPlane::Table() const
{
  const std::lock_guard lock(m_mutex);
  return m_table;
}

std::string
TrafficPlane::NewRequestId(base::RequestId& aId)
{
  const auto number = m_nextId++;
  aId = base::RequestId(number);
  return m_idPrefix + std::to_string(number);
}

void
TrafficPlane::Submit(std::shared_ptr<Exchange> aExchange)
{
  const auto& request = aExchange->Request();
  const decision::RequestQueued queued{
    request.id,       request.service->pool, request.workspace->id,
    request.deadline, request.repeatable,    FingerprintOf(request)
  };
  {
    const std::lock_guard lock(m_mutex);
    if (m_stop) {
      // An exchange that waited would keep its connection suspended while the
      // server stops, and libmicrohttpd aborts the process on that.
      aExchange->Refuse({ StatusOf(RefusalReason::Draining),
                          std::string(decision::kRefusalReasonNames.NameOf(
                            RefusalReason::Draining)),
                          base::Verdict::NotRun,
                          {} });
      return;
    }
    m_exchanges[request.id] = std::move(aExchange);
  }
  m_metrics.Count("requests_total");
  m_control->Post(queued);
}

void
TrafficPlane::CallerEnded(const std::shared_ptr<Exchange>& aExchange,
                          bool aEarly)
{
  const auto id = aExchange->Request().id;
  bool known = false;
  {
    const std::lock_guard lock(m_mutex);
    known = m_exchanges.erase(id) > 0;
  }
  if (known && aEarly) {
    m_metrics.Count("callers_gone_total");
    m_control->Post(decision::RequestAbandoned{ id });
  }
}

std::shared_ptr<Exchange>
TrafficPlane::FindExchange(base::RequestId aRequest)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_exchanges.find(aRequest);
  return found == m_exchanges.end() ? nullptr : found->second;
}

void
TrafficPlane::Send(const decision::SendRequest& aSend)
{
  auto exchange = FindExchange(aSend.request);
  if (!exchange) {
    m_control->Post(decision::AttemptEnded{
      aSend.request, decision::AttemptOutcome::CallerGone, false });
    return;
  }
  const auto index = base::Raw(aSend.request) % m_workers.size();
  m_workers[index]->Begin(std::move(exchange), aSend);
}

void
TrafficPlane::Refuse(const decision::RefuseRequest& aRefusal)
{
  const auto reason =
    std::string(decision::kRefusalReasonNames.NameOf(aRefusal.reason));
  m_metrics.Count("refused_total{reason=\"" + reason + "\"}");
  if (const auto exchange = FindExchange(aRefusal.request)) {
    exchange->Refuse({ StatusOf(aRefusal.reason),
                       reason,
                       aRefusal.verdict,
                       aRefusal.retryAfter });
  }
}

void
TrafficPlane::AttemptEnded(const decision::AttemptEnded& aEnded)
{
  if (const auto exchange = FindExchange(aEnded.request)) {
    const auto taken = base::MonotonicNow() - exchange->Request().receivedAt;
    m_metrics.Observe("attempt_ms", static_cast<double>(taken.count()));
  }
  const auto name = decision::kAttemptOutcomeNames.NameOf(aEnded.outcome);
  m_metrics.Count(fmt::format("attempts_total{{outcome=\"{}\"}}", name));
  m_control->Post(aEnded);
}

void
TrafficPlane::SetDocument(const decision::DocumentInForce& aDocument)
{
  const std::lock_guard lock(m_mutex);
  m_services[aDocument.document->name] = aDocument.document;
  m_table = std::make_shared<const RoutingTable>(m_services);
}

void
TrafficPlane::RunSweeper()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    m_wake.wait_for(lock, kSweepInterval);
    lock.unlock();
    Sweep();
    lock.lock();
  }
}

void
TrafficPlane::Sweep()
{
  std::vector<std::shared_ptr<Exchange>> waiting;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, exchange] : m_exchanges) {
      waiting.push_back(exchange);
    }
  }
  for (const auto& exchange : waiting) {
    exchange->DetectCallerHangup();
  }
  m_server->CloseSlowCallers(base::MonotonicNow());
}

void
TrafficPlane::CloseListener()
{
  m_server->CloseListener();
}

std::size_t
TrafficPlane::ActiveRequestCount() const
{
  const std::lock_guard lock(m_mutex);
  return m_exchanges.size();
}

//! Having no request in progress is not enough: callers may send the next
//! request on a connection that they keep open. So idle connections are closed
//! first.
bool
TrafficPlane::IsDrained()
{
  if (ActiveRequestCount() == 0) {
    m_server->CloseIdleConnections();
  }
  if (ActiveRequestCount() > 0 || m_server->ConnectionCount() > 0) {
    m_noConnectionsSince.reset();
    return false;
  }
  const auto now = base::MonotonicNow();
  m_noConnectionsSince = m_noConnectionsSince.value_or(now);
  return now - *m_noConnectionsSince >= kDrainSettleTime;
}

std::size_t
TrafficPlane::Stop()
{
  if (!m_server) {
    return 0;
  }
  std::vector<std::shared_ptr<Exchange>> left;
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
    for (const auto& [id, exchange] : m_exchanges) {
      left.push_back(exchange);
    }
  }
  const auto aborted = left.size();
  m_wake.notify_all();
  m_sweeper.join();
  for (const auto& exchange : left) {
    exchange->Abort();
  }
  for (auto& worker : m_workers) {
    worker->Stop();
  }
  m_server->Stop();
  m_server.reset();
  m_workers.clear();
  return aborted;
}

}
