#include "gateway/gateway.h"

#include "base/error.h"
#include "base/logline.h"
#include "base/monotonicclock.h"
#include "eventloop/eventloop.h"
#include "fleet/sourceoptions.h"
#include "gateway/istorecodec.h"
#include "gateway/peerlink.h"
#include "gateway/storefollower.h"
#include "gateway/storeupdatefollower.h"
#include "gateway/storeupdateserver.h"

#include <algorithm>
#include <utility>

//! How a gateway exchanges reports with other routers and follows the content
//! of the platform's store.
namespace hemlockgauge::gateway {

using base::LogLine;

namespace {

using namespace std::chrono_literals;

//! Maximum backoff after failed calls to the store: of a router whose preferred
//! source it is, and of one that uses it as a last resort, as many others may
//! do at the same time.
constexpr base::Duration kMaxStoreBackoff = 400ms;
constexpr base::Duration kMaxStoreBackoffLastResort = 2000ms;

//! The router counts as reading the store for this long after a response: the
//! time of a few pages of a listing on a busy router.
constexpr base::Duration kStoreReadingTimeout = 500ms;

//! Maximum number of entries whose changes are logged one by one. More of them
//! change at once only when a whole list is received.
constexpr std::size_t kMaxEntryLines = 64;

//! Whether the change makes idle connections to the upstream useless.
bool
MakesIdleConnectionsUseless(fleet::EntryChange aChange)
{
  using fleet::EntryChange;
  return aChange == EntryChange::Gone || aChange == EntryChange::Draining ||
         aChange == EntryChange::Restarted || aChange == EntryChange::Unusable;
}

}

void
Gateway::HandleReport(const fleet::PeerReport& aReport,
                      const base::Address& aFrom)
{
  const auto now = m_loop.Now();
  const bool wasAlone = m_membership.IsAlone(now);
  if (!aReport.relayed) {
    m_membership.RecordReport(aFrom, aReport.zone, now);
  }
  m_membership.MergeMembers(aReport.members, now);
  if (wasAlone) {
    LogLine("routers-found").Add("first", aFrom.Text()).Info();
  }
  if (aReport.wantsMembers) {
    fleet::PeerReport reply;
    reply.router = m_settings.id;
    reply.zone = base::HashName(m_settings.zone);
    reply.members = m_membership.Members(now);
    //! NOTE a starting router may accept requests before it receives the next
    //! regular report with the quarantined requests.
    reply.crashUpdates = m_fleet.CrashUpdatesForStart(now);
    m_peerLink->Send(reply, { aFrom });
  }
  if (aReport.storeEra != 0) {
    m_storeEra.Learn(aReport.storeEra, aReport.storeEraAge, now);
  }
  if (aReport.reader.port != 0) {
    m_freshestReader.Update(aReport.reader, now - aReport.readerAge);
  }
  if (m_fleet.ApplyReport(aReport, now)) {
    RelayZoneReport(aReport);
  }
}

//! Forwards the report of another availability zone to the other hubs of this
//! zone.
void
Gateway::RelayZoneReport(const fleet::PeerReport& aReport)
{
  if (aReport.scope != fleet::ReportScope::Zone || aReport.relayed) {
    return;
  }
  auto relayed = aReport;
  relayed.relayed = true;
  m_peerLink->Send(relayed, m_plan.zoneHubs);
}

void
Gateway::SendReports(fleet::ExchangeStage aStage,
                     std::uint64_t aPeriod,
                     base::TimePoint aNow)
{
  if (aStage == fleet::ExchangeStage::Own) {
    m_fleet.Tick(aNow);
    SendOwnReport(aNow);
    return;
  }
  if (!m_plan.AggregatesReports()) {
    return;
  }
  switch (aStage) {
    case fleet::ExchangeStage::Own:
      return;
    case fleet::ExchangeStage::GroupSums:
      SendGroupSum(aNow);
      return;
    case fleet::ExchangeStage::ZoneSums:
      SendZoneSum(aNow);
      return;
    case fleet::ExchangeStage::FleetSums:
      if (m_plan.SendsFleetSum(aPeriod)) {
        m_peerLink->Send(m_fleet.MakeFleetReport(m_ownReport, aNow),
                         m_plan.followers);
      }
      return;
  }
}

void
Gateway::SendGroupSum(base::TimePoint aNow)
{
  auto sum = m_fleet.MakeGroupReport(m_ownReport, aNow);
  sum.members = m_membership.MembersOfGroup(m_ownReport.sequence, aNow);
  m_peerLink->Send(sum, m_plan.otherGroupHubs);
}

void
Gateway::SendZoneSum(base::TimePoint aNow)
{
  const auto sequence = m_ownReport.sequence;
  if (!m_plan.SendsZoneSum(sequence)) {
    return;
  }
  auto sum = m_fleet.MakeZoneReport(m_ownReport, aNow);
  sum.members.clear();
  const auto turn = sequence / m_plan.speakerCount;
  if (turn % fleet::kZoneSumsPerMemberList == 0) {
    sum.members = m_membership.MembersOfZone(sum.zone, aNow);
  }
  m_peerLink->Send(sum, m_plan.ZoneSumTargets(sequence));
}

void
Gateway::SendOwnReport(base::TimePoint aNow)
{
  for (const auto& address : m_membership.Forget(aNow)) {
    LogLine("router-lost").Add("address", address).Info();
  }
  m_plan = m_membership.Plan(aNow);
  m_fleet.SetPlan(m_plan);
  if (std::exchange(m_streamMembersPlan, m_membership.PlansMade()) !=
      m_membership.PlansMade()) {
    m_streamVersions.SetMembers(m_membership.PlannedFor());
  }
  UpdateSourceOptions(m_plan, aNow);
  m_ownReport = m_fleet.MakeReport(m_loop.BusyFor(), aNow);
  auto& report = m_ownReport;
  report.zone = base::HashName(m_settings.zone);
  if (const auto age = m_storeEra.Age(aNow)) {
    report.storeEra = m_storeEra.Era();
    report.storeEraAge = *age;
  }
  if (const auto reader = m_freshestReader.Reader(aNow)) {
    report.reader = *reader;
    report.readerAge = m_freshestReader.ProofAge(aNow);
  }
  report.members = m_membership.MembersToReport(report.sequence, aNow);
  m_peerLink->Send(report, m_plan.reportTargets);
  const auto seeds = m_membership.SeedsToContact(aNow);
  if (!seeds.empty()) {
    auto request = report;
    request.wantsMembers = true;
    m_peerLink->Send(request, seeds);
  }
}

void
Gateway::UpdateSourceOptions(const fleet::ExchangePlan& aPlan,
                             base::TimePoint aNow)
{
  if (m_storeUpdateSource && m_storeUpdateSource->IsReceivingAnswer()) {
    return; // another source would have to send the list from its beginning
  }
  fleet::SourceContext context;
  context.self = m_settings.peerListen;
  context.hash = base::HashName(m_settings.peerListen.Text());
  for (const auto& seed : SeedPeerAddresses(m_settings)) {
    if (seed == m_settings.peerListen) {
      context.isSeed = true;
    } else {
      context.seeds.push_back(seed);
    }
  }
  context.sinceStart = aNow - m_startedAt;
  context.seedWait = m_settings.seedWait;
  context.proofAge = std::min(aNow - m_storeProvenAt, context.sinceStart);
  context.freshestReader =
    m_freshestReader.ReaderFresherThan(m_storeProvenAt, aNow);
  auto options = fleet::MakeSourceOptions(context, aPlan);
  for (auto& source : options.order) {
    if (source.kind == fleet::SourceKind::Router) {
      source.address.port = m_settings.controlListen.port;
    }
  }
  m_sourceSelector.SetOptions(options, aNow);
}

void
Gateway::TickSource(base::TimePoint aNow)
{
  m_sourceSelector.Tick(aNow);
  if (!m_openSource || !(*m_openSource == m_sourceSelector.Current())) {
    OpenSource();
  }
  m_storeUpdateSource->Tick(aNow);
}

void
Gateway::OpenSource()
{
  const auto& source = m_sourceSelector.Current();
  m_openSource = source;
  m_storedConfigVersion.reset();
  LogLine("news-source")
    .Add("kind", fleet::kSourceKindNames.NameOf(source.kind))
    .Add("address", source.address.Text())
    .Info();
  if (source.kind == fleet::SourceKind::Store) {
    m_storeUpdateSource = std::make_unique<StoreFollower>(
      m_loop,
      m_settings.store,
      m_codecs.store,
      *this,
      m_metrics,
      m_storeEra,
      m_sourceSelector.IsPreferred() ? kMaxStoreBackoff
                                     : kMaxStoreBackoffLastResort);
    return;
  }
  m_storeUpdateSource = std::make_unique<StoreUpdateFollower>(
    m_loop,
    source.address,
    *this,
    [this] {
      return fleet::StoreUpdateRequest{
        0, 0, m_fleet.ConfigVersion(), m_storeChangeLog.Digest()
      };
    },
    [this](base::Duration aProofAge) {
      m_sourceSelector.Answered(aProofAge, m_loop.Now());
    },
    [this] { m_sourceSelector.Pending(m_loop.Now()); });
}

//! Applies changes of the upstream list to the fleet and to the log for other
//! routers, once at the end of a response, which may hold hundreds of changes.
void
Gateway::ApplyUpstreamList()
{
  if (!m_upstreamListChanged) {
    return;
  }
  m_upstreamListChanged = false;
  m_metrics.Count("upstream_list_follows_total");
  //! NOTE the process may have stood still since the loop's time.
  const auto updates = m_fleet.UpdateUpstreams(base::MonotonicNow());
  m_metrics.Count("upstream_entries_changed_total", updates.size());
  m_storeChangeLog.LogUpstreams(updates);
}

//! Logs the changes of upstream entries and closes idle connections that they
//! make useless.
void
Gateway::HandleEntryNotices(const std::vector<fleet::EntryNotice>& aNotices)
{
  m_upstreamListChanged = true;
  for (const auto& notice : aNotices) {
    if (MakesIdleConnectionsUseless(notice.change)) {
      m_pool.CloseIdle(notice.upstream);
    }
  }
  if (aNotices.size() > kMaxEntryLines) {
    LogEntryCounts(aNotices);
    return;
  }
  for (const auto& notice : aNotices) {
    LogLine("upstream-entry")
      .Add("upstream", notice.id)
      .Add("version", notice.softwareVersion)
      .Add("change", fleet::kEntryChangeNames.NameOf(notice.change))
      .Info();
  }
}

//! Logs the number of entries by change: at a start or after an outage of the
//! store, thousands may change at once.
void
Gateway::LogEntryCounts(const std::vector<fleet::EntryNotice>& aNotices)
{
  std::map<fleet::EntryChange, std::uint64_t> counts;
  for (const auto& notice : aNotices) {
    counts[notice.change]++;
  }
  LogLine line("upstream-entries");
  for (const auto& [change, count] : counts) {
    line.Add(fleet::kEntryChangeNames.NameOf(change), count);
  }
  line.Info();
}

void
Gateway::OnConfigStored(const std::string& aBytes)
{
  try {
    auto config = m_codecs.store.DecodeConfig(aBytes);
    m_storedConfigVersion = config->version;
    if (SetConfig(std::move(config))) {
      m_storeChangeLog.SetConfig(m_fleet.ConfigVersion(), aBytes);
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
    .Add("tokens_per_s", config.nominalTokensPerSecond)
    .Info();
  return true;
}

void
Gateway::OnUpstreamsListed(const std::vector<fleet::UpstreamEntry>& aEntries)
{
  HandleEntryNotices(m_fleet.Upstreams().Replace(aEntries, m_loop.Now()));
}

void
Gateway::OnUpstreamChanged(const fleet::UpstreamEntry& aEntry)
{
  HandleEntryNotices(m_fleet.Upstreams().Put(aEntry));
}

void
Gateway::OnUpstreamRemoved(const std::string& aId)
{
  HandleEntryNotices(m_fleet.Upstreams().Remove(aId, m_loop.Now()));
}

void
Gateway::OnEvacuationsListed(const std::vector<fleet::Evacuation>& aAll)
{
  HandleZoneNotices(m_fleet.Evacuated().Replace(aAll, m_loop.Now()));
}

void
Gateway::OnZoneEvacuated(const fleet::Evacuation& aEvacuation)
{
  HandleZoneNotices(m_fleet.Evacuated().Put(aEvacuation, m_loop.Now()));
}

void
Gateway::OnZoneRestored(const std::string& aZone)
{
  m_fleet.Evacuated().Remove(aZone);
}

void
Gateway::HandleZoneNotices(const std::vector<fleet::ZoneNotice>& aNotices)
{
  if (aNotices.empty()) {
    return;
  }
  m_upstreamListChanged = true;
  ApplyUpstreamList();
  m_storeChangeLog.SetEvacuations(m_fleet.Evacuated().InForce());
  const auto proofAge = m_loop.Now() - m_storeProvenAt;
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
             m_fleet.CountUpstreamsInZone(notice.evacuation.zone)))
      .Add("proof_age_ms", proofAge.count())
      .Info();
  }
}

//! Whether the stored configuration is at least as new as the one in force here
//! and at other routers. A store that was restored from a copy may hold an
//! older one; its responses then don't confirm that API keys are still valid.
bool
Gateway::IsStoredConfigCurrent() const
{
  const auto version = m_fleet.ConfigVersion();
  return m_storedConfigVersion.value_or(version) >= version &&
         m_fleet.KnowsNewestConfig();
}

void
Gateway::OnProven(base::TimePoint aAt)
{
  ApplyUpstreamList();
  m_fleet.RecordListProof(aAt);
  if (!IsStoredConfigCurrent()) {
    m_metrics.Count("unproven_answers_total");
    return;
  }
  m_fleet.ConfigFreshness().RecordProof(aAt);
  m_storeProvenAt = std::max(m_storeProvenAt, aAt);
  HandleZoneNotices(m_fleet.Evacuated().Proven(aAt));
  if (m_sourceSelector.Current().kind == fleet::SourceKind::Store) {
    m_freshestReader.Update(m_settings.peerListen, aAt);
    m_sourceSelector.Answered(base::Duration{}, m_loop.Now());
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
  if (m_sourceSelector.Current().kind == fleet::SourceKind::Store) {
    m_storeAnsweredAt = aAt;
  }
}

//! A listing of thousands of upstreams takes longer than a source may stay
//! silent.
void
Gateway::OnListProgress()
{
  m_sourceSelector.Pending(m_loop.Now());
}

bool
Gateway::ExpectsList() const
{
  const auto now = m_loop.Now();
  return now - m_storeAnsweredAt < kStoreReadingTimeout ||
         m_sourceSelector.IsPending(now);
}

}
