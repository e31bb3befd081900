#include "gateway/gateway.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "fleet/acceptqueuelimit.h"
#include "gateway/icallercodec.h"
#include "gateway/istorecodec.h"
#include "gateway/iupstreamcodec.h"
#include "gateway/peerlink.h"
#include "gateway/storefollower.h"
#include "gateway/storeupdatefollower.h"
#include "gateway/storeupdateserver.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace hemlockgauge::gateway {

using base::LogLine;
using base::Verdict;

namespace {

using namespace std::chrono_literals;

//! Interval of ticks of a router that takes part in all stages of the exchange,
//! serves followers or is starting or stopping.
constexpr base::Duration kFastTickInterval = fleet::kExchangeStep;
//! Resolution of the time limits of connections; also how often the readiness
//! and the upstreams' leases are checked.
constexpr base::Duration kSlowTickInterval = fleet::kReportInterval;
//! Interval of the log line about the requests that a busy router receives.
constexpr base::Duration kIntakeLogInterval = 1000ms;
//! A longer gap between two fast ticks is logged as a stall of the process.
constexpr base::Duration kStallLogThreshold = 1000ms;
//! Part of the memory limit that connections and requests may buffer. The rest
//! is for what the router knows of the fleet, and for the heap's overhead.
constexpr double kBufferRatio = 0.4;
//! What is known of prompts in KV caches may take a twentieth of the memory
//! limit.
constexpr std::size_t kPrefixDivisor = 20;
//! Memory of one entry of fleet::PrefixMap.
constexpr std::size_t kPrefixHolderBytes = 120;
//! Maximum number of caller connections, also with more descriptors. Callers
//! keep idle connections for seconds, so a caller that sends many times its
//! usual load would otherwise take them all.
constexpr std::size_t kMaxCallerConnections = 1900;
//! Descriptors of a host that sockets can't use.
constexpr std::size_t kFileDescriptors = 200;
//! Descriptors of listeners, probes, the store and other routers.
constexpr std::size_t kOwnDescriptors = 100;
//! With more caller connections than this, each response closes its connection.
constexpr std::size_t kMaxKeepAliveConnections = 500;
//! Number of connections closed at a time when the maximum is reached.
constexpr std::size_t kCloseBatch = 100;
//! At the maximum, a caller that lets its request wait longer than this makes
//! way for others. Lost packets are sent again within this time.
constexpr base::Duration kPatienceAtMaximum = 500ms;

fleet::FleetSettings
MakeFleetSettings(const GatewaySettings& aSettings, std::uint64_t aIncarnation)
{
  fleet::FleetSettings settings;
  settings.router = aSettings.id;
  settings.zone = aSettings.zone;
  settings.incarnation = aIncarnation;
  settings.placement = aSettings.placement;
  settings.revocationBound = aSettings.revocationBound;
  settings.entryTtl = 2 * aSettings.upstreamHeartbeatInterval;
  settings.retryRatio = aSettings.retryRatio;
  settings.retrySlack = aSettings.retrySlack;
  settings.retryWindow = aSettings.retryWindow;
  settings.coldLimit = aSettings.coldLimit;
  settings.maxPrefixHolders =
    aSettings.memoryLimit / kPrefixDivisor / kPrefixHolderBytes;
  settings.usesStatedLoads = aSettings.usesStatedLoads == Switch::On;
  settings.spreadsRetries = aSettings.spreadsRetries == Switch::On;
  settings.regionOfZone = aSettings.regionOfZone;
  return settings;
}

//! Descriptors for connections of either side, callers or upstreams.
std::size_t
DescriptorsPerSide(const GatewaySettings& aSettings)
{
  return (aSettings.maxDescriptors - kFileDescriptors - kOwnDescriptors) / 2;
}

std::size_t
MaxCallers(const GatewaySettings& aSettings)
{
  return std::min(kMaxCallerConnections, DescriptorsPerSide(aSettings));
}

std::size_t
BufferLimit(const GatewaySettings& aSettings)
{
  return static_cast<std::size_t>(kBufferRatio *
                                  static_cast<double>(aSettings.memoryLimit));
}

base::Duration
TimeOfDay()
{
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::system_clock::now().time_since_epoch());
}

Exchange*
ExchangeOf(const http::ServerConnection& aConnection)
{
  return static_cast<Exchange*>(aConnection.context);
}

Refusal
RefusalForFault(http::Fault aFault)
{
  switch (aFault) {
    case http::Fault::HeadTooLarge:
      return Refusal::HeadTooLarge;
    case http::Fault::BodyTooLarge:
      return Refusal::BodyTooLarge;
    case http::Fault::Timeout:
      return Refusal::SlowRequest;
    case http::Fault::NoRoom:
      return Refusal::NoRoom;
    case http::Fault::None:
    case http::Fault::Syntax:
      return Refusal::BadRequest;
  }
  return Refusal::BadRequest;
}

}

Gateway::Gateway(eventloop::EventLoop& aLoop,
                 const GatewaySettings& aSettings,
                 const Codecs& aCodecs,
                 std::uint64_t aIncarnation)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_codecs(aCodecs)
  , m_fleet(MakeFleetSettings(aSettings, aIncarnation))
  , m_logBudget(aSettings.loggedPerSecond)
  , m_pool(aLoop, &m_buffers)
  , m_checks(
      m_pool,
      [this](base::UpstreamId aUpstream, quarantine::CheckResult aResult) {
        HandleCheckResult(aUpstream, aResult);
      })
  , m_endChecks(aLoop, m_checks)
  , m_connections(aLoop, m_limits, *this, &m_buffers)
  , m_membership(aSettings.peerListen,
                 base::HashName(aSettings.zone),
                 SeedPeerAddresses(aSettings))
  , m_streamVersions(aLoop,
                     m_metrics,
                     m_membership.Self(),
                     [this](const auto& aMessage, const auto& aTo) {
                       m_peerLink->Send(aMessage, aTo);
                     })
  , m_exchangeQueue(aLoop, aSettings.waiting)
  , m_storeChangeLog(aIncarnation, m_fleet.Upstreams())
  , m_intakeLoggedAt(aLoop.Now())
  , m_startedAt(aLoop.Now())
  , m_lastTick(m_startedAt)
{
  m_buffers.SetLimit(BufferLimit(aSettings));
  m_maxCallers = MaxCallers(aSettings);
  m_pool.SetMaxConnections(DescriptorsPerSide(aSettings));
}

Gateway::~Gateway() = default;

void
Gateway::Start()
{
  UpdateSourceOptions(m_membership.Plan(m_startedAt), m_startedAt);
  OpenSource();
  m_storeUpdateServer = std::make_unique<StoreUpdateServer>(
    m_loop,
    m_settings.controlListen,
    m_storeChangeLog,
    [this] { return m_loop.Now() - m_storeProvenAt; },
    [this] { return ExpectsList(); },
    m_metrics);
  m_peerLink = std::make_unique<PeerLink>(
    m_loop,
    m_settings.peerListen,
    m_metrics,
    [this](const fleet::PeerReport& aReport, const base::Address& aFrom) {
      HandleReport(aReport, aFrom);
    },
    [this](const fleet::StreamMessage& aMessage, const base::Address& aFrom) {
      m_streamVersions.Take(aMessage, aFrom);
    });
  m_probeServer = std::make_unique<ProbeServer>(
    m_loop, m_settings.probeListen, [this](const std::string& aTarget) {
      return ServePage(aTarget);
    });
  m_listener = std::make_unique<http::Listener>(
    m_loop,
    m_settings.callersListen,
    [this](const ACE_SOCK_Stream& aStream) { Accept(aStream); },
    fleet::AcceptQueueLimit(m_settings.processorShare));
  m_loop.ScheduleSelfTimed(m_startedAt + kFastTickInterval, [this] {
    TickFast();
    return NextTickAt(m_loop.Now(), TimeOfDay());
  });
  m_loop.SchedulePeriodic(kSlowTickInterval, [this] { TickSlow(); });
}

void
Gateway::Accept(const ACE_SOCK_Stream& aStream)
{
  m_intake.accepted++;
  const bool busy = m_loop.BusyFor() > base::Duration{};
  m_connections.Add(aStream, busy);
  UpdateListenerPause();
}

//! Pauses the listener while the maximum of connections is reached and none of
//! them can be closed. New connections then wait in the backlog: callers whose
//! connection is closed without an answer reconnect at once.
void
Gateway::UpdateListenerPause()
{
  const bool full =
    m_connections.Size() >= m_maxCallers &&
    m_connections.MakeRoom(kCloseBatch, kPatienceAtMaximum) == 0;
  m_listener->Pause(full);
}

void
Gateway::OnRequest(http::ServerConnection& aConnection,
                   http::RequestHead&& aHead,
                   std::string&& aBody)
{
  if (m_stopBeganAt || m_connections.Size() > kMaxKeepAliveConnections) {
    aConnection.CloseAfterAnswer();
  }
  const ExchangeDependencies dependencies{
    m_loop,          m_fleet,   m_codecs.callers, m_codecs.upstreams,
    m_pool,          m_metrics, m_logBudget,      m_streamVersions,
    m_exchangeQueue, m_buffers, m_endChecks
  };
  m_intake.read++;
  auto exchange = std::make_unique<Exchange>(dependencies, *this, aConnection);
  auto* key = exchange.get();
  m_exchanges[key] = std::move(exchange);
  aConnection.context = key;
  key->Start(std::move(aHead), std::move(aBody));
}

void
Gateway::OnBadRequest(http::ServerConnection& aConnection, http::Fault aFault)
{
  aConnection.context = nullptr;
  m_metrics.Count("bad_requests_total");
  if (m_logBudget.Take(m_loop.Now())) {
    LogLine("bad-request").Add("why", http::kFaultNames.NameOf(aFault)).Warn();
  }
  LocalReply reply{ RefusalForFault(aFault), Verdict::NotRun, {}, "" };
  if (aFault == http::Fault::NoRoom) {
    m_metrics.Count("requests_without_room_total");
    reply.retryAfter = kNoRoomRetryAfter;
  }
  aConnection.BeginAnswer(
    m_codecs.callers.EncodeLocalReply(reply), http::Framing::Length, 0);
  aConnection.EndAnswer();
}

void
Gateway::OnPeerGone(http::ServerConnection& aConnection)
{
  if (auto* exchange = ExchangeOf(aConnection)) {
    exchange->OnCallerGone();
  }
}

void
Gateway::OnDrained(http::ServerConnection& aConnection)
{
  if (auto* exchange = ExchangeOf(aConnection)) {
    exchange->OnCallerDrained();
  }
}

void
Gateway::OnClosed(http::ServerConnection& aConnection)
{
  m_connections.Forget(aConnection);
}

void
Gateway::OnFinished(Exchange& aExchange)
{
  if (!aExchange.WasPlaced()) {
    m_intake.refused++;
  }
  const auto found = m_exchanges.find(&aExchange);
  if (found == m_exchanges.end()) {
    return;
  }
  m_loop.DeleteLater(std::move(found->second));
  m_exchanges.erase(found);
}

bool
Gateway::IsReady() const
{
  return !m_stopBeganAt && m_fleet.Routes() != nullptr &&
         m_fleet.Upstreams().IsKnown() &&
         m_fleet.ConfigFreshness().MayUseKeys(m_loop.Now());
}

void
Gateway::Reload(const GatewaySettings& aSettings)
{
  const bool needsRestart =
    !(aSettings.callersListen == m_settings.callersListen &&
      aSettings.probeListen == m_settings.probeListen &&
      aSettings.controlListen == m_settings.controlListen &&
      aSettings.peerListen == m_settings.peerListen &&
      aSettings.store == m_settings.store && aSettings.id == m_settings.id);
  m_settings.stopGracePeriod = aSettings.stopGracePeriod;
  m_buffers.SetLimit(BufferLimit(aSettings));
  m_maxCallers = MaxCallers(aSettings);
  m_pool.SetMaxConnections(DescriptorsPerSide(aSettings));
  m_logBudget = base::LogRateLimiter(aSettings.loggedPerSecond);
  m_fleet.Reconfigure(MakeFleetSettings(aSettings, 0));
  m_exchangeQueue.Configure(aSettings.waiting);
  LogLine("settings-reloaded")
    .Add("restart_needed", needsRestart ? "yes" : "no")
    .Add("revocation_bound_ms", aSettings.revocationBound.count())
    .Add("stop_grace_ms", aSettings.stopGracePeriod.count())
    .Info();
}

void
Gateway::TickFast()
{
  const auto now = m_loop.Now();
  const auto sinceLastTick = now - m_lastTick;
  m_lastTick = now;
  if (sinceLastTick > kStallLogThreshold) {
    m_metrics.Count("stood_still_total");
    LogLine("stood-still").Add("ms", sinceLastTick.count()).Warn();
  }
  std::vector<Exchange*> exchanges;
  exchanges.reserve(m_exchanges.size());
  for (const auto& [key, exchange] : m_exchanges) {
    exchanges.push_back(key);
  }
  for (auto* exchange : exchanges) {
    if (m_exchanges.contains(exchange)) {
      exchange->Tick(now);
    }
  }
  CheckUpstreams(now);
  m_streamVersions.Tick();
  TickSource(now);
  m_storeUpdateServer->Tick(now);
  ContinueStop(now);
  UpdateListenerPause();
  const auto timeOfDay = TimeOfDay();
  const auto period =
    static_cast<std::uint64_t>(timeOfDay / fleet::kReportInterval);
  for (const auto stage : m_exchangeClock.Due(timeOfDay)) {
    SendReports(stage, period, now);
  }
}

bool
Gateway::NeedsEveryStep() const
{
  return m_stopBeganAt.has_value() || !IsReady() ||
         m_plan.AggregatesReports() || m_storeUpdateServer->HasFollowers() ||
         m_checks.IsChecking() || m_endChecks.IsWaiting() ||
         m_listener->IsPaused() || m_streamVersions.IsAsking();
}

base::TimePoint
Gateway::NextTickAt(base::TimePoint aNow, base::Duration aTimeOfDay) const
{
  const auto soonest = aNow + kFastTickInterval;
  if (NeedsEveryStep()) {
    return soonest;
  }
  auto next =
    aNow + fleet::kReportInterval - aTimeOfDay % fleet::kReportInterval;
  next = std::min(next, std::max(soonest, m_storeUpdateSource->NextTickAt()));
  for (const auto& [key, exchange] : m_exchanges) {
    next = std::min(next, std::max(soonest, exchange->NextTickAt()));
  }
  return next;
}

//! Logs once per second, on a busy router, how many connections and requests
//! arrived and how many were refused.
void
Gateway::LogIntake(base::TimePoint aNow)
{
  if (aNow - m_intakeLoggedAt < kIntakeLogInterval) {
    return;
  }
  const auto elapsed = aNow - m_intakeLoggedAt;
  m_intakeLoggedAt = aNow;
  const auto counts = std::exchange(m_intake, {});
  const bool busy = m_loop.BusyFor() > fleet::kBusyThreshold;
  if (!busy && !m_listener->IsPaused()) {
    return;
  }
  LogLine("router-busy")
    .Add("within_ms", elapsed.count())
    .Add("accepted", counts.accepted)
    .Add("read", counts.read)
    .Add("refused", counts.refused)
    .Add("connections", static_cast<std::uint64_t>(m_connections.Size()))
    .Add("room", m_listener->IsPaused() ? "no" : "yes")
    .Add("busy_ms", m_loop.BusyFor().count())
    .Add("busy_part", m_fleet.BusyRatio())
    .Info();
}

void
Gateway::TickSlow()
{
  const auto now = m_loop.Now();
  m_connections.EnforceTimeouts(now);
  m_probeServer->Sweep(now);
  if (const auto unlogged = m_logBudget.TakeRefusedCount(); unlogged > 0) {
    m_metrics.Count("requests_unlogged_total", unlogged);
    LogLine("requests-unlogged").Add("count", unlogged).Info();
  }
  LogIntake(now);
  LogBuffers();
  m_pool.Sweep(now);
  if (const auto expired = m_fleet.Upstreams().Tick(now); !expired.empty()) {
    HandleEntryNotices(expired);
    ApplyUpstreamList();
  }
  const bool ready = IsReady();
  if (ready != m_loggedReady) {
    m_loggedReady = ready;
    LogLine("ready").Add("is", ready ? "yes" : "no").Info();
  }
}

}
