#include "fleet/fleet.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

//! Processing of other routers' reports and making of this router's reports.
namespace hemlockgauge::fleet {

namespace {

//! Greatest number of prefix uses that a sum of many routers can carry in one
//! datagram.
constexpr std::size_t kMaxSummedUses = 1024;

//! Appends aMore to aTo up to kMaxSummedUses; the rest is dropped.
void
Append(std::vector<PrefixUse>& aTo, const std::vector<PrefixUse>& aMore)
{
  const auto capacity = kMaxSummedUses - std::min(kMaxSummedUses, aTo.size());
  const auto count = std::min(capacity, aMore.size());
  aTo.insert(aTo.end(),
             aMore.begin(),
             aMore.begin() + static_cast<std::ptrdiff_t>(count));
}

//! Removes duplicates: a use that many routers reported is passed on once.
void
Deduplicate(std::vector<PrefixUse>& aUses)
{
  std::sort(aUses.begin(), aUses.end());
  aUses.erase(std::unique(aUses.begin(), aUses.end()), aUses.end());
}

}

bool
Fleet::ApplyReport(const PeerReport& aReport, TimePoint aNow)
{
  m_quarantine.Take(aReport.crashUpdates, aNow);
  m_newestReportedConfig =
    std::max(m_newestReportedConfig, aReport.configVersion);
  if (!m_peers.Take(aReport, aNow)) {
    return false;
  }
  for (const auto& use : aReport.prefixUses) {
    m_prefixes.RecordUse(use.part, use.upstream);
  }
  if (m_isSummingHub) {
    CollectUses(aReport);
  }
  ApplyConfigProof(aReport);
  return true;
}

//! Collects prefix uses that this hub passes on with its group, zone and fleet
//! sums. Uses from a sum are only passed on to routers that did not get it.
void
Fleet::CollectUses(const PeerReport& aReport)
{
  const bool isOfGroup = aReport.scope == ReportScope::Router;
  const bool isOfZone = isOfGroup || aReport.scope == ReportScope::Group;
  if (isOfGroup) {
    Append(m_groupUses, aReport.prefixUses);
  }
  if (isOfZone && m_isZoneSpeaker) {
    Append(m_zoneUses, aReport.prefixUses);
  }
  if (aReport.scope != ReportScope::Fleet) {
    Append(m_fleetUses, aReport.prefixUses);
  }
}

void
Fleet::SetPlan(const ExchangePlan& aPlan)
{
  m_group = aPlan.group;
  m_warmUp.SetRouters(aPlan.routers);
  m_retries.SetRank(aPlan.routers.Rank(), aPlan.routers.routers.size());
  m_quarantine.SetRank(aPlan.routers.Rank(), aPlan.routers.routers.size());
  m_isSummingHub = aPlan.AggregatesReports();
  m_isLargeFleet = aPlan.IsLarge();
  if (!m_isSummingHub) {
    m_groupUses.clear();
    m_fleetUses.clear();
  }
  m_isZoneSpeaker = !aPlan.otherZones.empty();
  if (!m_isZoneSpeaker) {
    m_zoneUses.clear();
  }
  m_peers.SetRole(aPlan.isHub, aPlan.group);
}

//! Records that the configuration in force is current if the sender proves it.
//! The age of the datagram is unknown, as it may have waited in a buffer while
//! this process was suspended. The sender's echo of this router's own timestamp
//! bounds it: the report was written after that timestamp.
void
Fleet::ApplyConfigProof(const PeerReport& aReport)
{
  const bool isSameVersion =
    aReport.configVersion != 0 && aReport.configVersion == ConfigVersion();
  if (!isSameVersion || !KnowsNewestConfig()) {
    return;
  }
  const auto self = base::RouterId(base::HashName(m_settings.router));
  for (const auto& heard : aReport.heard) {
    if (heard.router == self) {
      m_freshness.RecordProof(heard.sentAt - aReport.configAge);
    }
  }
}

PeerReport
Fleet::MakeReport(Duration aBusyFor, TimePoint aNow)
{
  PeerReport report;
  report.busyRouters = aBusyFor > kBusyThreshold ? 1 : 0;
  report.router = m_settings.router;
  report.incarnation = m_settings.incarnation;
  report.sequence = ++m_reportSequence;
  report.sentAt = aNow;
  report.group = m_group;
  report.heard = m_peers.Heard();
  report.configVersion = ConfigVersion();
  report.configAge = m_freshness.Age(aNow);
  for (const auto id : m_upstreams.Busy()) {
    const auto& upstream = *m_upstreams.Find(id);
    const auto unread = upstream.prefills.UnreadTokens(aNow);
    report.loads.push_back(
      { id, static_cast<std::uint32_t>(unread), upstream.running });
  }
  for (const auto& [workspace, rate] : m_demandMeter.Rates(aNow)) {
    report.rates.push_back({ workspace, rate });
  }
  for (const auto& [service, rate] : m_callMeter.Rates(aNow)) {
    report.calls.push_back({ service, rate });
  }
  report.prefillDemand = m_demandMeter.PrefillDemand();
  report.crashUpdates = report.sequence % kReportsPerQuarantineList == 0
                          ? m_quarantine.NextCrashRefresh(aNow)
                          : m_quarantine.TakeUnreportedCrashes(aNow);
  report.prefixUses = std::move(m_ownUses);
  m_ownUses.clear();
  if (m_isSummingHub) {
    CollectUses(report);
  }
  m_peers.RecordSent(report);
  return report;
}

double
Fleet::BusyRatio() const
{
  return static_cast<double>(m_peers.BusyRouters() + 1) /
         static_cast<double>(m_peers.RouterCount() + 1);
}

//! Returns aOwn with ages as of aNow: receivers compute with the ages on their
//! own clocks, so they must be right at the time of sending.
PeerReport
Fleet::WithCurrentAges(const PeerReport& aOwn, TimePoint aNow) const
{
  auto report = aOwn;
  report.readerAge += aNow - aOwn.sentAt;
  report.configVersion = ConfigVersion();
  report.configAge = m_freshness.Age(aNow);
  return report;
}

PeerReport
Fleet::MakeGroupReport(const PeerReport& aOwn, TimePoint aNow)
{
  auto sum = m_peers.GroupSum(WithCurrentAges(aOwn, aNow), aNow);
  sum.prefixUses = std::move(m_groupUses);
  m_groupUses.clear();
  return sum;
}

PeerReport
Fleet::MakeZoneReport(const PeerReport& aOwn, TimePoint aNow)
{
  auto sum = m_peers.ZoneSum(WithCurrentAges(aOwn, aNow), aNow);
  sum.prefixUses = std::move(m_zoneUses);
  m_zoneUses.clear();
  Deduplicate(sum.prefixUses);
  return sum;
}

//! Whether decisions are the same without the load: the engine has no prompt to
//! prefill and nearly all slots are free. In a fleet with more engines than
//! work, most of the engines that run requests are in this state.
bool
Fleet::IsQuiet(const UpstreamLoad& aLoad) const
{
  if (aLoad.unreadTokens > 0) {
    return false;
  }
  const auto* upstream = m_upstreams.Find(aLoad.upstream);
  return upstream != nullptr && upstream->IsEngine() &&
         aLoad.running <= kQuietSlotsRatio * upstream->entry->slots;
}

PeerReport
Fleet::MakeFleetReport(const PeerReport& aOwn, TimePoint aNow)
{
  auto sum = m_peers.FleetSum(WithCurrentAges(aOwn, aNow), aNow);
  std::erase_if(sum.loads,
                [&](const UpstreamLoad& aLoad) { return IsQuiet(aLoad); });
  sum.prefixUses = std::move(m_fleetUses);
  m_fleetUses.clear();
  Deduplicate(sum.prefixUses);
  return sum;
}

}
