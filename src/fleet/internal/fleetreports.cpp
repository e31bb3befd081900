#include "fleet/fleet.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

//! What a router takes from the reports of others, and what it tells them.
namespace hemlockgauge::fleet {

namespace {

//! Prefix uses that a sum of many routers has room for in one datagram.
constexpr std::size_t kMostUsesSummed = 1024;

void
Append(std::vector<PrefixUse>& aTo, const std::vector<PrefixUse>& aMore)
{
  const auto room = kMostUsesSummed - std::min(kMostUsesSummed, aTo.size());
  const auto count = std::min(room, aMore.size());
  aTo.insert(aTo.end(),
             aMore.begin(),
             aMore.begin() + static_cast<std::ptrdiff_t>(count));
}

//! The same use by many routers is told once.
void
Unite(std::vector<PrefixUse>& aUses)
{
  std::sort(aUses.begin(), aUses.end());
  aUses.erase(std::unique(aUses.begin(), aUses.end()), aUses.end());
}

}

bool
Fleet::Take(const PeerReport& aReport, TimePoint aNow)
{
  m_quarantine.Take(aReport.crashNews, aNow);
  m_newestConfigTold = std::max(m_newestConfigTold, aReport.configVersion);
  if (!m_peers.Take(aReport, aNow)) {
    return false;
  }
  for (const auto& use : aReport.uses) {
    m_prefixes.Used(use.part, use.upstream);
  }
  if (m_sumsUp) {
    KeepUses(aReport);
  }
  TakeProof(aReport);
  return true;
}

//! What a hub passes on, and to whom.
void
Fleet::KeepUses(const PeerReport& aReport)
{
  const bool ofGroup = aReport.scope == ReportScope::Router;
  const bool ofZone = ofGroup || aReport.scope == ReportScope::Group;
  if (ofGroup) {
    Append(m_usesOfGroup, aReport.uses);
  }
  if (ofZone && m_speaksForZone) {
    Append(m_usesOfZone, aReport.uses);
  }
  if (aReport.scope != ReportScope::Fleet) {
    Append(m_usesOfFleet, aReport.uses);
  }
}

void
Fleet::SetPlan(const ExchangePlan& aPlan)
{
  m_group = aPlan.group;
  m_warmUp.SetRouters(aPlan.routers);
  m_sumsUp = aPlan.SumsUp();
  m_newsIsOld = aPlan.IsLarge();
  if (!m_sumsUp) {
    m_usesOfGroup.clear();
    m_usesOfFleet.clear();
  }
  m_speaksForZone = !aPlan.otherZones.empty();
  if (!m_speaksForZone) {
    m_usesOfZone.clear();
  }
  m_peers.SetRole(aPlan.isHub, aPlan.group);
}

//! A datagram may have waited in a buffer while this process stood still,
//! so its age is not known. The echo of this router's own clock bounds it:
//! the sender wrote it after it heard that.
void
Fleet::TakeProof(const PeerReport& aReport)
{
  const bool isOurs =
    aReport.configVersion != 0 && aReport.configVersion == ConfigVersion();
  if (!isOurs || !KnowsNewestConfig()) {
    return;
  }
  const auto self = base::RouterId(base::HashName(m_settings.router));
  for (const auto& heard : aReport.heard) {
    if (heard.router == self) {
      m_freshness.Proven(heard.sentAt - aReport.configAge);
    }
  }
}

PeerReport
Fleet::Tell(Duration aBusyFor, TimePoint aNow)
{
  PeerReport report;
  report.busy = aBusyFor > kBusyAfter ? 1 : 0;
  report.router = m_settings.router;
  report.life = m_settings.life;
  report.sequence = ++m_reportSequence;
  report.sentAt = aNow;
  report.group = m_group;
  report.heard = m_peers.Heard();
  report.configVersion = ConfigVersion();
  report.configAge = m_freshness.Age(aNow);
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.running > 0) {
      const auto unread = upstream.reading.Unread(aNow);
      report.loads.push_back(
        { id, static_cast<std::uint32_t>(unread), upstream.running });
    }
  }
  for (const auto& [workspace, rate] : m_demand.Rates(aNow)) {
    report.rates.push_back({ workspace, rate });
  }
  for (const auto& [service, rate] : m_calls.Rates(aNow)) {
    report.calls.push_back({ service, rate });
  }
  report.reading = m_demand.Reading();
  report.crashNews = report.sequence % kQuarantineEvery == 0
                       ? m_quarantine.TellInTurn(aNow)
                       : m_quarantine.TellNews(aNow);
  report.uses = std::move(m_usesHere);
  m_usesHere.clear();
  if (m_sumsUp) {
    KeepUses(report);
  }
  m_peers.Sent(report);
  return report;
}

double
Fleet::BusyPart() const
{
  return static_cast<double>(m_peers.Busy() + 1) /
         static_cast<double>(m_peers.Routers() + 1);
}

//! Since aOwn was made time has passed: what bounds ages by the receiver's
//! clock must hold for the moment at which it is sent.
PeerReport
Fleet::Renewed(const PeerReport& aOwn, TimePoint aNow) const
{
  auto report = aOwn;
  report.readerAge += aNow - aOwn.sentAt;
  report.configVersion = ConfigVersion();
  report.configAge = m_freshness.Age(aNow);
  return report;
}

PeerReport
Fleet::TellGroup(const PeerReport& aOwn, TimePoint aNow)
{
  auto sum = m_peers.GroupSum(Renewed(aOwn, aNow), aNow);
  sum.uses = std::move(m_usesOfGroup);
  m_usesOfGroup.clear();
  return sum;
}

PeerReport
Fleet::TellZone(const PeerReport& aOwn, TimePoint aNow)
{
  auto sum = m_peers.ZoneSum(Renewed(aOwn, aNow), aNow);
  sum.uses = std::move(m_usesOfZone);
  m_usesOfZone.clear();
  Unite(sum.uses);
  return sum;
}

PeerReport
Fleet::TellFleet(const PeerReport& aOwn, TimePoint aNow)
{
  auto sum = m_peers.FleetSum(Renewed(aOwn, aNow), aNow);
  sum.uses = std::move(m_usesOfFleet);
  m_usesOfFleet.clear();
  return sum;
}

}
