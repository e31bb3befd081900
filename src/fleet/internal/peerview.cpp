#include "fleet/peerview.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! A view of more reports than this is summed up once per period instead of
//! after each report.
constexpr std::size_t kMaxReportsToSumAtOnce = 12;
//! Number of sent reports to keep. A received sum may contain any report that
//! was sent within kReportTtl.
constexpr std::size_t kSentReportsKept =
  static_cast<std::size_t>(kReportTtl / kReportInterval) + 4;

std::uint32_t
ZoneOf(std::uint64_t aGroup)
{
  return static_cast<std::uint32_t>(aGroup >> 32U);
}

bool
IsOlder(const PeerReport& aNew, const PeerReport& aKnown)
{
  return aNew.incarnation < aKnown.incarnation ||
         (aNew.incarnation == aKnown.incarnation &&
          aNew.sequence <= aKnown.sequence);
}

}

void
PeerView::SetRole(bool aIsHub, std::uint64_t aGroup)
{
  if (aIsHub == m_isHub && aGroup == m_group) {
    return;
  }
  m_isHub = aIsHub;
  m_group = aGroup;
  std::erase_if(m_groupSums, [&](const auto& aEntry) {
    return aEntry.first == aGroup || ZoneOf(aEntry.first) != ZoneOf(aGroup);
  });
  m_zoneSums.erase(ZoneOf(aGroup));
  std::erase_if(m_routerReports, [&](const auto& aEntry) {
    return aEntry.second.report.group != aGroup;
  });
  Recompute();
}

bool
PeerView::Take(const PeerReport& aReport, TimePoint aNow)
{
  const auto store = [&](auto& aTable, const auto& aKey) {
    const auto found = aTable.find(aKey);
    const bool known =
      found != aTable.end() && found->second.report.router == aReport.router;
    if (known && IsOlder(aReport, found->second.report)) {
      return false;
    }
    aTable[aKey] = { aReport, aNow };
    return true;
  };
  bool taken = false;
  switch (aReport.scope) {
    case ReportScope::Router:
      taken =
        aReport.group == m_group && store(m_routerReports, aReport.router);
      break;
    case ReportScope::Group:
      taken = aReport.group != m_group &&
              ZoneOf(aReport.group) == ZoneOf(m_group) &&
              store(m_groupSums, aReport.group);
      break;
    case ReportScope::Zone:
      taken =
        aReport.zone != ZoneOf(m_group) && store(m_zoneSums, aReport.zone);
      break;
    case ReportScope::Fleet:
      taken = store(m_fleetSums, aReport.router);
      break;
  }
  if (taken) {
    RecomputeIfCheap();
  }
  return taken;
}

void
PeerView::RecordSent(const PeerReport& aOwn)
{
  m_sentReports.push_back(aOwn);
  m_sentReports.back().prefixUses.clear();
  m_sentReports.back().members.clear();
  m_sentReports.back().crashUpdates = {};
  if (m_sentReports.size() > kSentReportsKept) {
    m_sentReports.pop_front();
  }
}

void
PeerView::Forget(TimePoint aNow)
{
  const auto isExpired = [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt > kReportTtl;
  };
  const auto dropped = std::erase_if(m_routerReports, isExpired) +
                       std::erase_if(m_groupSums, isExpired) +
                       std::erase_if(m_zoneSums, isExpired) +
                       std::erase_if(m_fleetSums, isExpired);
  if (dropped > 0 || m_stale) {
    Recompute();
  }
}

const PeerReport*
PeerView::FindOwnReportIn(const PeerReport& aSum) const
{
  for (const auto& own : m_sentReports) {
    const auto sender = base::RouterId(base::HashName(own.router));
    for (const auto& heard : aSum.heard) {
      if (heard.router == sender && heard.sequence == own.sequence) {
        return &own;
      }
    }
  }
  return nullptr;
}

void
PeerView::RecomputeIfCheap()
{
  if (m_routerReports.size() + m_groupSums.size() + m_zoneSums.size() <=
      kMaxReportsToSumAtOnce) {
    Recompute();
  } else {
    m_stale = true;
  }
}

void
PeerView::Recompute()
{
  m_stale = false;
  m_sum.Clear();
  if (m_isHub) {
    for (const auto& [router, received] : m_routerReports) {
      m_sum.Add(received.report, received.AsOf());
    }
    for (const auto& [group, received] : m_groupSums) {
      m_sum.Add(received.report, received.AsOf());
    }
    for (const auto& [zone, received] : m_zoneSums) {
      m_sum.Add(received.report, received.AsOf());
    }
    return;
  }
  const ReceivedReport* newest = nullptr;
  for (const auto& [hub, received] : m_fleetSums) {
    if (newest == nullptr || received.receivedAt > newest->receivedAt) {
      newest = &received;
    }
  }
  if (newest == nullptr) {
    return;
  }
  m_sum.Add(newest->report, newest->AsOf());
  if (const auto* own = FindOwnReportIn(newest->report)) {
    m_sum.Subtract(*own);
  }
}

template<typename Table>
std::vector<HeardRouter>
PeerView::LastReportsOf(const Table& aTable)
{
  std::vector<HeardRouter> heard;
  heard.reserve(aTable.size());
  for (const auto& [key, received] : aTable) {
    heard.push_back({ base::RouterId(base::HashName(received.report.router)),
                      received.report.sequence,
                      received.report.sentAt });
  }
  return heard;
}

std::vector<HeardRouter>
PeerView::Heard() const
{
  return LastReportsOf(m_routerReports);
}

LoadSum
PeerView::AddUpGroup(const PeerReport& aOwn) const
{
  LoadSum all;
  all.Add(aOwn, aOwn.sentAt);
  for (const auto& [router, received] : m_routerReports) {
    all.Add(received.report, received.AsOf());
  }
  return all;
}

PeerReport
PeerView::MakeSum(const LoadSum& aAll,
                  const PeerReport& aOwn,
                  ReportScope aScope,
                  TimePoint aNow)
{
  auto sum = aOwn;
  sum.scope = aScope;
  sum.sentAt = aNow;
  aAll.WriteTo(sum, aNow);
  return sum;
}

PeerReport
PeerView::GroupSum(const PeerReport& aOwn, TimePoint aNow) const
{
  auto sum = MakeSum(AddUpGroup(aOwn), aOwn, ReportScope::Group, aNow);
  sum.heard = LastReportsOf(m_groupSums);
  return sum;
}

PeerReport
PeerView::ZoneSum(const PeerReport& aOwn, TimePoint aNow) const
{
  auto all = AddUpGroup(aOwn);
  for (const auto& [group, received] : m_groupSums) {
    all.Add(received.report, received.AsOf());
  }
  auto sum = MakeSum(all, aOwn, ReportScope::Zone, aNow);
  sum.heard = LastReportsOf(m_zoneSums);
  return sum;
}

PeerReport
PeerView::FleetSum(const PeerReport& aOwn, TimePoint aNow)
{
  if (m_stale) {
    Recompute();
  }
  auto all = m_sum;
  all.Add(aOwn, aOwn.sentAt);
  auto sum = MakeSum(all, aOwn, ReportScope::Fleet, aNow);
  sum.heard = Heard();
  return sum;
}

Duration
PeerView::MeanLoadAge(TimePoint aNow) const
{
  return m_sum.RouterCount() == 0 ? Duration{} : aNow - m_sum.AsOf();
}

Duration
PeerView::OldestReportAge(TimePoint aNow) const
{
  Duration oldest{};
  const auto includeTable = [&](const auto& aTable) {
    for (const auto& [key, received] : aTable) {
      oldest = std::max(oldest, aNow - received.receivedAt);
    }
  };
  if (m_isHub) {
    includeTable(m_routerReports);
    includeTable(m_groupSums);
    includeTable(m_zoneSums);
  } else {
    includeTable(m_fleetSums);
  }
  return oldest;
}

}
