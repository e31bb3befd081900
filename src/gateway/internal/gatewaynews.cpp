#include "gateway/gateway.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "fleet/sourceoptions.h"
#include "gateway/istoredialect.h"
#include "gateway/newsfollower.h"
#include "gateway/newsserver.h"
#include "gateway/peerlink.h"
#include "gateway/storefollower.h"

#include <algorithm>

//! How a gateway exchanges reports with other routers and follows the content
//! of the platform's store.
namespace hemlockgauge::gateway {

using base::LogLine;

namespace {

using namespace std::chrono_literals;

//! Maximum backoff after failed calls to the store: of a router whose preferred
//! source it is, and of one that uses it as a last resort, as many others may
//! do at the same time.
constexpr base::Duration kStorePause = 400ms;
constexpr base::Duration kStorePauseLastResort = 2000ms;

//! The router counts as reading the store for this long after a response: the
//! time of a few pages of a listing on a busy router.
constexpr base::Duration kStoreReading = 500ms;

//! Whether the change makes idle connections to the upstream useless.
bool
EndsKeptConnections(fleet::EntryChange aChange)
{
  using fleet::EntryChange;
  return aChange == EntryChange::Gone || aChange == EntryChange::Draining ||
         aChange == EntryChange::Restarted || aChange == EntryChange::Unusable;
}

}

void
Gateway::TakeReport(const fleet::PeerReport& aReport,
                    const base::Address& aFrom)
{
  const auto now = m_loop.Now();
  const bool wasAlone = m_members.IsAlone(now);
  if (!aReport.relayed) {
    m_members.Heard(aFrom, aReport.zone, now);
  }
  m_members.Learn(aReport.members, now);
  if (wasAlone) {
    LogLine("routers-found").Add("first", aFrom.Text()).Info();
  }
  if (aReport.wantsMembers) {
    fleet::PeerReport reply;
    reply.router = m_settings.id;
    reply.zone = base::HashName(m_settings.zone);
    reply.members = m_members.Known(now);
    //! NOTE a starting router may accept requests before it receives the next
    //! regular report with the quarantined requests.
    reply.crashNews = m_fleet.CrashNewsForStart(now);
    m_peers->Send(reply, { aFrom });
  }
  if (aReport.storeEra != 0) {
    m_storeEra.Told(aReport.storeEra, aReport.storeEraAge, now);
  }
  if (aReport.reader.port != 0) {
    m_knownReader.Learn(aReport.reader, now - aReport.readerAge);
  }
  if (m_fleet.Take(aReport, now)) {
    Relay(aReport);
  }
}

//! Forwards the report of another availability zone to the other hubs of this
//! zone.
void
Gateway::Relay(const fleet::PeerReport& aReport)
{
  if (aReport.scope != fleet::ReportScope::Zone || aReport.relayed) {
    return;
  }
  auto relayed = aReport;
  relayed.relayed = true;
  m_peers->Send(relayed, m_plan.relays);
}

void
Gateway::TellOthers(fleet::ExchangeStage aStage,
                    std::uint64_t aPeriod,
                    base::TimePoint aNow)
{
  if (aStage == fleet::ExchangeStage::Own) {
    m_fleet.Tick(aNow);
    TellOwn(aNow);
    return;
  }
  if (!m_plan.SumsUp()) {
    return;
  }
  switch (aStage) {
    case fleet::ExchangeStage::Own:
      return;
    case fleet::ExchangeStage::GroupSums:
      m_peers->Send(m_fleet.TellGroup(m_ownReport, aNow), m_plan.hubs);
      return;
    case fleet::ExchangeStage::ZoneSums:
      TellOtherZones(aNow);
      return;
    case fleet::ExchangeStage::FleetSums:
      if (m_plan.TellsFollowers(aPeriod)) {
        m_peers->Send(m_fleet.TellFleet(m_ownReport, aNow), m_plan.followers);
      }
      return;
  }
}

void
Gateway::TellOtherZones(base::TimePoint aNow)
{
  const auto sequence = m_ownReport.sequence;
  if (!m_plan.Speaks(sequence)) {
    return;
  }
  auto sum = m_fleet.TellZone(m_ownReport, aNow);
  sum.members.clear();
  const auto turn = sequence / m_plan.speakers;
  if (turn % fleet::kZoneMembersEvery == 0) {
    sum.members = m_members.KnownOfZone(sum.zone, aNow);
  }
  m_peers->Send(sum, m_plan.ZoneContacts(sequence));
}

void
Gateway::TellOwn(base::TimePoint aNow)
{
  for (const auto& address : m_members.Forget(aNow)) {
    LogLine("router-lost").Add("address", address).Info();
  }
  m_plan = m_members.Plan(aNow);
  m_fleet.SetPlan(m_plan);
  ChooseSource(m_plan, aNow);
  m_ownReport = m_fleet.Tell(m_loop.BusyFor(), aNow);
  auto& own = m_ownReport;
  own.zone = base::HashName(m_settings.zone);
  if (const auto age = m_storeEra.Age(aNow)) {
    own.storeEra = m_storeEra.Era();
    own.storeEraAge = *age;
  }
  if (const auto reader = m_knownReader.Best(aNow)) {
    own.reader = *reader;
    own.readerAge = m_knownReader.ProofAge(aNow);
  }
  if (own.sequence % fleet::kMembersEvery == 0) {
    own.members = m_members.Known(aNow);
  }
  m_peers->Send(own, m_plan.tell);
  const auto seeds = m_members.SeedsToTell(aNow);
  if (!seeds.empty()) {
    auto asking = own;
    asking.wantsMembers = true;
    m_peers->Send(asking, seeds);
  }
}

void
Gateway::ChooseSource(const fleet::ExchangePlan& aPlan, base::TimePoint aNow)
{
  fleet::SourceView view;
  view.self = m_settings.peerListen;
  view.hash = base::HashName(m_settings.peerListen.Text());
  for (const auto& seed : SeedsOf(m_settings)) {
    if (seed == m_settings.peerListen) {
      view.isSeed = true;
    } else {
      view.seeds.push_back(seed);
    }
  }
  view.sinceStart = aNow - m_startedAt;
  view.seedWait = m_settings.seedWait;
  view.proofAge = std::min(aNow - m_newsProvenAt, view.sinceStart);
  view.knownReader = m_knownReader.Better(m_newsProvenAt, aNow);
  auto options = fleet::MakeSourceOptions(view, aPlan);
  for (auto& source : options.order) {
    if (source.kind == fleet::SourceKind::Router) {
      source.address.port = m_settings.controlListen.port;
    }
  }
  m_sources.SetOptions(options, aNow);
}

void
Gateway::FollowSource(base::TimePoint aNow)
{
  m_sources.Tick(aNow);
  if (!m_opened || !(*m_opened == m_sources.Current())) {
    OpenSource();
  }
  m_news->Tick(aNow);
}

void
Gateway::OpenSource()
{
  const auto& source = m_sources.Current();
  m_opened = source;
  m_storedVersion.reset();
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
      m_storeEra,
      m_sources.IsPreferred() ? kStorePause : kStorePauseLastResort);
    return;
  }
  m_news = std::make_unique<NewsFollower>(
    m_loop,
    source.address,
    *this,
    [this] {
      return fleet::NewsAsk{
        0, 0, m_fleet.ConfigVersion(), m_newsLog.Digest()
      };
    },
    [this](base::Duration aProofAge) {
      m_sources.Answered(aProofAge, m_loop.Now());
    },
    [this] { m_sources.Pending(m_loop.Now()); });
}

//! Applies changes of the upstream list to the fleet and to the log for other
//! routers. Each of these reads the whole list, so this is done once at the end
//! of a response, which may hold hundreds of changes.
void
Gateway::FollowList()
{
  if (!m_listChanged) {
    return;
  }
  m_listChanged = false;
  m_metrics.Count("upstream_list_follows_total");
  m_fleet.FollowUpstreams(m_loop.Now());
  m_newsLog.SetUpstreams(m_fleet.Upstreams().Entries());
}

//! Logs the changes of upstream entries and closes idle connections that they
//! make useless.
void
Gateway::TakeNotices(const std::vector<fleet::EntryNotice>& aNotices)
{
  m_listChanged = true;
  for (const auto& notice : aNotices) {
    LogLine("upstream-entry")
      .Add("upstream", notice.id)
      .Add("change", fleet::kEntryChangeNames.NameOf(notice.change))
      .Info();
    if (EndsKeptConnections(notice.change)) {
      m_pool.CloseIdle(notice.upstream);
    }
  }
}

void
Gateway::OnStoredConfig(const std::string& aBytes)
{
  try {
    auto config = m_dialects.store.DecodeConfig(aBytes);
    m_storedVersion = config->version;
    if (SetConfig(std::move(config))) {
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
  const auto limits = aConfig->limits;
  const auto version = aConfig->version;
  if (!m_fleet.SetConfig(std::move(aConfig))) {
    return false;
  }
  m_limits = limits;
  const auto& config = *m_fleet.Routes()->Config();
  LogLine("config-in-force")
    .Add("version", version)
    .Add("routes", static_cast<std::uint64_t>(config.routes.size()))
    .Add("keys", static_cast<std::uint64_t>(config.workspaceOfKey.size()))
    .Add("tokens_per_s", config.tokensPerSecond)
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
Gateway::OnEvacuations(const std::vector<fleet::Evacuation>& aAll)
{
  TakeZones(m_fleet.Evacuated().Replace(aAll, m_loop.Now()));
}

void
Gateway::OnEvacuated(const fleet::Evacuation& aEvacuation)
{
  TakeZones(m_fleet.Evacuated().Put(aEvacuation, m_loop.Now()));
}

void
Gateway::OnRestored(const std::string& aZone)
{
  m_fleet.Evacuated().Remove(aZone);
}

void
Gateway::TakeZones(const std::vector<fleet::ZoneNotice>& aNotices)
{
  if (aNotices.empty()) {
    return;
  }
  m_listChanged = true;
  FollowList();
  m_newsLog.SetEvacuations(m_fleet.Evacuated().InForce());
  const auto proofAge = m_loop.Now() - m_newsProvenAt;
  for (const auto& notice : aNotices) {
    const auto change = fleet::kZoneChangeNames.NameOf(notice.change);
    m_metrics.Count("zone_evacuations_total{change=\"" + std::string(change) +
                    "\"}");
    LogLine("zone")
      .Add("availability_zone", notice.evacuation.zone)
      .Add("change", change)
      .Add("revision", notice.evacuation.revision)
      .Add("upstreams",
           static_cast<std::uint64_t>(
             m_fleet.UpstreamsOfZone(notice.evacuation.zone)))
      .Add("proof_age_ms", proofAge.count())
      .Info();
  }
}

//! Whether the stored configuration is at least as new as the one in force here
//! and at other routers. A store that was restored from a copy may hold an
//! older one; its responses then don't confirm that API keys are still valid.
bool
Gateway::IsNewestStored() const
{
  const auto version = m_fleet.ConfigVersion();
  return m_storedVersion.value_or(version) >= version &&
         m_fleet.KnowsNewestConfig();
}

void
Gateway::OnProven(base::TimePoint aAt)
{
  FollowList();
  if (!IsNewestStored()) {
    m_metrics.Count("unproven_answers_total");
    return;
  }
  m_fleet.ConfigFreshness().Proven(aAt);
  m_newsProvenAt = std::max(m_newsProvenAt, aAt);
  TakeZones(m_fleet.Evacuated().Proven(aAt));
  if (m_sources.Current().kind == fleet::SourceKind::Store) {
    m_knownReader.Learn(m_settings.peerListen, aAt);
    m_sources.Answered(base::Duration{}, m_loop.Now());
  }
}

void
Gateway::OnStoreLost(const std::string&)
{
  m_fleet.Upstreams().StoreLost(m_loop.Now());
}

void
Gateway::OnStoreReached(base::TimePoint aAt)
{
  m_fleet.Upstreams().StoreReached(aAt);
  if (m_sources.Current().kind == fleet::SourceKind::Store) {
    m_storeAnsweredAt = aAt;
  }
}

bool
Gateway::ReadsStore() const
{
  return m_loop.Now() - m_storeAnsweredAt < kStoreReading;
}

}
