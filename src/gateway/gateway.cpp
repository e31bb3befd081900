#include "gateway/gateway.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "gateway/icallerdialect.h"
#include "gateway/istoredialect.h"
#include "gateway/iupstreamdialect.h"
#include "gateway/newsfollower.h"
#include "gateway/newsserver.h"
#include "gateway/peerlink.h"
#include "gateway/storefollower.h"

#include <fmt/format.h>

#include <vector>

namespace hemlockgauge::gateway {

using base::LogLine;
using base::Verdict;

namespace {

using namespace std::chrono_literals;

//! How exactly time limits of requests are kept.
constexpr base::Duration kFastTick = 20ms;
//! Time limits of connections, gauges, tellings.
constexpr base::Duration kSlowTick = fleet::kTellPeriod;
//! A loop that did not come round for this long stood still.
constexpr base::Duration kStoodStill = 1000ms;
//! After the stop began, the balancer still sends new connections until it
//! has asked twice; new requests are taken for this long.
constexpr base::Duration kTakeAfterStop = 2700ms;
//! What still runs this long before the kill is cut, to say so in the log.
constexpr base::Duration kBeforeKill = 400ms;
//! Connections of callers at once: half of what descriptors allow, the rest
//! is for upstreams. Callers keep idle ones for seconds, so one that sends
//! many times its usual would take them all.
constexpr std::size_t kMostCallers = 1900;
//! From so many on, each answer closes its connection.
constexpr std::size_t kManyCallers = 500;
//! Idle connections closed at once to make room.
constexpr std::size_t kCallersToClose = 100;
//! Hubs of other groups that a router turns to when its own are cut off.
constexpr std::size_t kOtherSources = 2;
//! Longest pause between failed calls to the store: of a router that reads
//! it always, and of one that turns to it last of all, with many others.
constexpr base::Duration kStorePause = 400ms;
constexpr base::Duration kStorePauseLastResort = 2000ms;

fleet::FleetSettings
FleetSettingsOf(const GatewaySettings& aSettings, std::uint64_t aLife)
{
  fleet::FleetSettings settings;
  settings.router = aSettings.id;
  settings.zone = aSettings.zone;
  settings.life = aLife;
  settings.placement = aSettings.placement;
  settings.revocationBound = aSettings.revocationBound;
  settings.lapseAfter = 2 * aSettings.heartbeat;
  settings.retryRatio = aSettings.retryRatio;
  settings.retrySlack = aSettings.retrySlack;
  settings.retryWindow = aSettings.retryWindow;
  return settings;
}

//! The settings name the seeds' control addresses; tellings go to the same
//! port at all routers.
std::vector<base::Address>
SeedsOf(const GatewaySettings& aSettings)
{
  std::vector<base::Address> seeds;
  for (const auto& seed : aSettings.seeds) {
    seeds.push_back({ seed.ip, aSettings.peerListen.port });
  }
  return seeds;
}

Exchange*
ExchangeOf(const http::ServerConnection& aConnection)
{
  return static_cast<Exchange*>(aConnection.context);
}

Refusal
RefusalOf(http::Fault aFault)
{
  switch (aFault) {
    case http::Fault::HeadTooLarge:
      return Refusal::HeadTooLarge;
    case http::Fault::BodyTooLarge:
      return Refusal::BodyTooLarge;
    case http::Fault::Timeout:
      return Refusal::SlowRequest;
    case http::Fault::None:
    case http::Fault::Syntax:
      return Refusal::BadRequest;
  }
  return Refusal::BadRequest;
}

}

Gateway::Gateway(eventloop::EventLoop& aLoop,
                 const GatewaySettings& aSettings,
                 const Dialects& aDialects,
                 std::uint64_t aLife)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_dialects(aDialects)
  , m_fleet(FleetSettingsOf(aSettings, aLife))
  , m_logBudget(aSettings.loggedPerSecond)
  , m_pool(aLoop)
  , m_connections(aLoop, m_limits, *this)
  , m_members(aSettings.peerListen,
              base::HashName(aSettings.zone),
              SeedsOf(aSettings))
  , m_newsLog(aLife)
  , m_lastTick(aLoop.Now())
{
}

Gateway::~Gateway() = default;

void
Gateway::Start()
{
  OpenSource();
  m_newsServer = std::make_unique<NewsServer>(
    m_loop, m_settings.controlListen, m_newsLog, [this] {
      return m_fleet.ConfigFreshness().Age(m_loop.Now());
    });
  m_peers = std::make_unique<PeerLink>(
    m_loop,
    m_settings.peerListen,
    m_metrics,
    [this](const fleet::Telling& aTelling, const base::Address& aFrom) {
      TakeTelling(aTelling, aFrom);
    });
  m_probes = std::make_unique<ProbeServer>(
    m_loop, m_settings.probeListen, [this](const std::string& aTarget) {
      return Page(aTarget);
    });
  m_listener = std::make_unique<http::Listener>(
    m_loop, m_settings.callersListen, [this](const ACE_SOCK_Stream& aStream) {
      Accept(aStream);
    });
  m_loop.Subscribe(kFastTick, [this] { TickFast(); });
  m_loop.Subscribe(kSlowTick, [this] { TickSlow(); });
}

void
Gateway::Accept(const ACE_SOCK_Stream& aStream)
{
  const bool full = m_connections.Size() >= kMostCallers &&
                    m_connections.CloseLongestIdle(kCallersToClose) == 0;
  if (full) {
    m_metrics.Count("callers_turned_away_total");
    ACE_SOCK_Stream refused(aStream);
    refused.close();
    return;
  }
  m_connections.Add(aStream);
}

void
Gateway::OnRequest(http::ServerConnection& aConnection,
                   http::RequestHead&& aHead,
                   std::string&& aBody)
{
  //! NOTE under a flood a connection waits to be accepted for longer than its
  //! caller does; the request is then the first thing seen of it.
  if (aConnection.HasPeerGone()) {
    m_metrics.Count("requests_left_unread_total");
    return; // the connection's own end follows
  }
  if (m_stopBeganAt || m_connections.Size() > kManyCallers) {
    aConnection.CloseAfterAnswer();
  }
  const ExchangeParts parts{
    m_loop, m_fleet,   m_dialects.callers, m_dialects.upstreams,
    m_pool, m_metrics, m_logBudget
  };
  auto exchange = std::make_unique<Exchange>(parts, *this, aConnection);
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
  LogLine("bad-request").Add("why", http::kFaultNames.NameOf(aFault)).Warn();
  const OwnAnswer answer{ RefusalOf(aFault), Verdict::NotRun, {}, "" };
  aConnection.BeginAnswer(
    m_dialects.callers.EncodeOwn(answer), http::Framing::Length, 0);
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
Gateway::OnOver(Exchange& aExchange)
{
  const auto found = m_exchanges.find(&aExchange);
  if (found == m_exchanges.end()) {
    return;
  }
  auto holder =
    std::make_shared<std::unique_ptr<Exchange>>(std::move(found->second));
  m_exchanges.erase(found);
  m_loop.Defer([holder] { holder->reset(); });
}

bool
Gateway::IsClosing() const
{
  return m_stopBeganAt && m_loop.Now() - *m_stopBeganAt > kTakeAfterStop;
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
  const bool moved =
    !(aSettings.callersListen == m_settings.callersListen &&
      aSettings.probeListen == m_settings.probeListen &&
      aSettings.controlListen == m_settings.controlListen &&
      aSettings.peerListen == m_settings.peerListen &&
      aSettings.store == m_settings.store && aSettings.id == m_settings.id);
  m_settings.grace = aSettings.grace;
  m_logBudget = base::LogBudget(aSettings.loggedPerSecond);
  m_fleet.Reconfigure(FleetSettingsOf(aSettings, 0));
  LogLine("settings-reloaded")
    .Add("restart_needed", moved ? "yes" : "no")
    .Add("revocation_bound_ms", aSettings.revocationBound.count())
    .Add("stop_grace_ms", aSettings.grace.count())
    .Info();
}

void
Gateway::BeginStop()
{
  if (m_stopBeganAt) {
    return;
  }
  m_stopBeganAt = m_loop.Now();
  LogLine("stop-began")
    .Add("running", static_cast<std::uint64_t>(m_exchanges.size()))
    .Add("connections", static_cast<std::uint64_t>(m_connections.Size()))
    .Info();
}

//! New requests are taken until the balancer has noticed, each with the
//! word that its connection closes; then idle connections and the listener
//! close; what runs goes on until it ends or the kill is near.
void
Gateway::FollowStop(base::TimePoint aNow)
{
  if (!m_stopBeganAt || m_stopped) {
    return;
  }
  if (IsClosing()) {
    m_listener->Close();
    m_connections.CloseIdle();
  }
  const bool over = IsClosing() && m_connections.Size() == 0;
  const bool late = aNow - *m_stopBeganAt > m_settings.grace - kBeforeKill;
  if (!over && !late) {
    return;
  }
  m_stopped = true;
  m_cut = m_exchanges.size();
  LogLine("stopped")
    .Add("requests_cut", static_cast<std::uint64_t>(m_cut))
    .Info();
  m_loop.Stop();
}

void
Gateway::TickFast()
{
  const auto now = m_loop.Now();
  const auto still = now - m_lastTick;
  m_lastTick = now;
  if (still > kStoodStill) {
    m_metrics.Count("stood_still_total");
    LogLine("stood-still").Add("ms", still.count()).Warn();
  }
  std::vector<Exchange*> all;
  all.reserve(m_exchanges.size());
  for (const auto& [key, exchange] : m_exchanges) {
    all.push_back(key);
  }
  for (auto* exchange : all) {
    if (m_exchanges.contains(exchange)) {
      exchange->Tick(now);
    }
  }
  m_news->Tick(now);
  m_newsServer->Tick(now);
  FollowStop(now);
}

void
Gateway::TickSlow()
{
  const auto now = m_loop.Now();
  m_connections.Sweep(now);
  m_probes->Sweep(now);
  if (const auto left = m_logBudget.TakeLeftOut(); left > 0) {
    m_metrics.Count("requests_unlogged_total", left);
    LogLine("requests-unlogged").Add("count", left).Info();
  }
  m_pool.Sweep(now);
  if (const auto gone = m_fleet.Upstreams().Tick(now); !gone.empty()) {
    TakeNotices(gone);
  }
  m_fleet.Tick(now);
  TellOthers(now);
  const bool ready = IsReady();
  if (ready != m_ready) {
    m_ready = ready;
    LogLine("ready").Add("is", ready ? "yes" : "no").Info();
  }
}

void
Gateway::TakeTelling(const fleet::Telling& aTelling, const base::Address& aFrom)
{
  const auto now = m_loop.Now();
  const bool wasAlone = m_members.IsAlone(now);
  m_members.Heard(aFrom, aTelling.zone, now);
  m_members.Learn(aTelling.members, now);
  if (wasAlone) {
    LogLine("routers-found").Add("first", aFrom.Text()).Info();
  }
  if (aTelling.wantsMembers) {
    fleet::Telling reply;
    reply.router = m_settings.id;
    reply.zone = base::HashName(m_settings.zone);
    reply.members = m_members.Known(now);
    m_peers->Send(reply, { aFrom });
  }
  m_fleet.Take(aTelling, now);
}

void
Gateway::TellOthers(base::TimePoint aNow)
{
  for (const auto& address : m_members.Forget(aNow)) {
    LogLine("router-lost").Add("address", address).Info();
  }
  const auto plan = m_members.Plan(aNow);
  m_fleet.SetPlan(plan);
  ChooseSource(plan, aNow);
  auto own = m_fleet.Tell(aNow);
  own.zone = base::HashName(m_settings.zone);
  const bool withMembers = own.sequence % fleet::kMembersEvery == 0;
  if (withMembers) {
    own.members = m_members.Known(aNow);
  }
  m_peers->Send(own, plan.tell);
  if (plan.isHub && !plan.hubs.empty()) {
    m_peers->Send(m_fleet.TellGroup(own), plan.hubs);
    m_peers->Send(m_fleet.TellFleet(own), plan.followers);
  }
  auto greeting = own;
  greeting.wantsMembers = true;
  m_peers->Send(greeting, m_members.SeedsToTell(aNow));
}

//! In a small fleet every router reads the store, and turns to others when it
//! is cut off from it. In a large one the first hub of a group reads it, and
//! the others learn from hubs.
void
Gateway::ChooseSource(const fleet::ExchangePlan& aPlan, base::TimePoint aNow)
{
  std::vector<fleet::NewsSource> options;
  const auto add = [&](const std::vector<base::Address>& aRouters,
                       std::size_t aMost) {
    for (std::size_t i = 0; i < std::min(aMost, aRouters.size()); ++i) {
      if (!(aRouters[i] == m_settings.peerListen)) {
        options.push_back(
          { fleet::SourceKind::Router,
            { aRouters[i].ip, m_settings.controlListen.port } });
      }
    }
  };
  const auto& hubs = aPlan.groupHubs;
  const bool reads = hubs.empty() || hubs.front() == m_settings.peerListen;
  if (reads) {
    options.emplace_back();
  }
  add(hubs, hubs.size());
  add(hubs.empty() ? aPlan.tell : aPlan.hubs, kOtherSources);
  if (!reads) {
    options.emplace_back();
  }
  m_sources.SetOptions(options, aNow);
  if (m_sources.Tick(aNow) || !m_opened ||
      !(*m_opened == m_sources.Current())) {
    OpenSource();
  }
}

void
Gateway::OpenSource()
{
  const auto& source = m_sources.Current();
  m_opened = source;
  LogLine("news-source")
    .Add("kind", fleet::kSourceKindNames.NameOf(source.kind))
    .Add("address", source.address.Text())
    .Info();
  if (source.kind == fleet::SourceKind::Store) {
    m_news = std::make_unique<StoreFollower>(
      m_loop,
      m_settings.store,
      m_dialects.store,
      *this,
      m_metrics,
      m_sources.IsPreferred() ? kStorePause : kStorePauseLastResort);
    return;
  }
  m_news = std::make_unique<NewsFollower>(
    m_loop,
    source.address,
    *this,
    [this] { return m_fleet.ConfigVersion(); },
    [this](base::Duration aProofAge) {
      m_sources.Answered(aProofAge, m_loop.Now());
    });
}

//! Called with what each change of the list brought.
void
Gateway::TakeNotices(const std::vector<fleet::EntryNotice>& aNotices)
{
  m_fleet.FollowUpstreams();
  m_newsLog.SetUpstreams(m_fleet.Upstreams().Entries());
  for (const auto& notice : aNotices) {
    LogLine("upstream-entry")
      .Add("upstream", notice.id)
      .Add("change", fleet::kEntryChangeNames.NameOf(notice.change))
      .Info();
    if (notice.change == fleet::EntryChange::Gone ||
        notice.change == fleet::EntryChange::Draining) {
      m_pool.CloseIdle(notice.id);
    }
  }
}

void
Gateway::OnStoredConfig(const std::string& aBytes)
{
  try {
    if (SetConfig(m_dialects.store.DecodeConfig(aBytes))) {
      m_newsLog.SetConfig(m_fleet.ConfigVersion(), aBytes);
    }
  } catch (const base::Error& error) {
    m_metrics.Count("configs_refused_total");
    LogLine("config-refused")
      .Add("why", error.what())
      .Add("in_force", m_fleet.ConfigVersion())
      .Error();
  }
}

bool
Gateway::SetConfig(fleet::ConfigPtr aConfig)
{
  const auto& limits = aConfig->limits;
  const auto version = aConfig->version;
  const http::ServerLimits serverLimits{ limits.maxHeadBytes,
                                         limits.maxBodyBytes,
                                         limits.headTimeout,
                                         limits.idleTimeout };
  if (!m_fleet.SetConfig(std::move(aConfig))) {
    return false;
  }
  m_limits = serverLimits;
  const auto& config = *m_fleet.Routes()->Config();
  LogLine("config-in-force")
    .Add("version", version)
    .Add("routes", static_cast<std::uint64_t>(config.routes.size()))
    .Add("keys", static_cast<std::uint64_t>(config.workspaceOfKey.size()))
    .Info();
  return true;
}

void
Gateway::OnListed(const std::vector<fleet::UpstreamEntry>& aEntries)
{
  TakeNotices(m_fleet.Upstreams().Replace(aEntries, m_loop.Now()));
}

void
Gateway::OnUpstream(const fleet::UpstreamEntry& aEntry)
{
  TakeNotices(m_fleet.Upstreams().Put(aEntry));
}

void
Gateway::OnRemoved(const std::string& aId)
{
  TakeNotices(m_fleet.Upstreams().Remove(aId, m_loop.Now()));
}

void
Gateway::OnProven(base::TimePoint aAt)
{
  m_fleet.ConfigFreshness().Proven(aAt);
  if (m_sources.Current().kind == fleet::SourceKind::Store) {
    m_sources.Answered(base::Duration{}, m_loop.Now());
  }
}

void
Gateway::OnStoreLost(const std::string&)
{
  m_fleet.Upstreams().StoreLost(m_loop.Now());
}

void
Gateway::OnStoreBack()
{
  m_fleet.Upstreams().StoreBack(m_loop.Now());
}

void
Gateway::PublishGauges(base::TimePoint aNow)
{
  const auto set = [&](const char* aName, double aValue) {
    m_metrics.Set(aName, aValue);
  };
  set("running", static_cast<double>(m_exchanges.size()));
  set("callers", static_cast<double>(m_connections.Size()));
  set("upstream_connections", static_cast<double>(m_pool.Open()));
  set("upstream_connections_opened", static_cast<double>(m_pool.Opened()));
  set("routers_heard", static_cast<double>(m_fleet.Peers().Routers()));
  set("config_version", static_cast<double>(m_fleet.ConfigVersion()));
  set("config_age_ms",
      static_cast<double>(m_fleet.ConfigFreshness().Age(aNow).count()));
}

std::string
Gateway::StatusText() const
{
  const auto now = m_loop.Now();
  auto text = fmt::format(
    "router={} ready={} draining={} config={} config_age_ms={} source={} "
    "routers_seen={} running={} callers={}\n",
    m_settings.id,
    IsReady() ? "yes" : "no",
    m_stopBeganAt ? "yes" : "no",
    m_fleet.ConfigVersion(),
    m_fleet.ConfigFreshness().Age(now).count(),
    fleet::kSourceKindNames.NameOf(m_sources.Current().kind),
    m_fleet.Peers().Routers(),
    m_exchanges.size(),
    m_connections.Size());
  for (const auto& one : m_fleet.Status(now)) {
    text += fmt::format("upstream={} service={} draining={} ejected={} "
                        "unread_tokens={:.0f} running={} read_rate={:.1f} "
                        "failure_part={:.2f}\n",
                        one.id,
                        one.service,
                        one.draining ? "yes" : "no",
                        one.ejected ? "yes" : "no",
                        one.unreadTokens,
                        one.running,
                        one.readRate,
                        one.failurePart);
  }
  return text;
}

ProbePage
Gateway::Page(const std::string& aTarget)
{
  if (aTarget == "/readyz") {
    const bool ready = IsReady();
    return { ready ? 200 : 503, "text/plain", ready ? "ready\n" : "no\n" };
  }
  if (aTarget == "/healthz") {
    return { 200, "text/plain", "ok\n" };
  }
  if (aTarget == "/status") {
    return { 200, "text/plain", StatusText() };
  }
  if (aTarget == "/metrics") {
    PublishGauges(m_loop.Now());
    return { 200, "text/plain; version=0.0.4", m_metrics.Text() };
  }
  return { 404, "text/plain", "no such page\n" };
}

}
