#include "fleet/peerview.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! A view of more reports than this is summed up once a period instead of
//! at each of them.
constexpr std::size_t kSumAtOnce = 12;
//! Own reports that a sum may still hold: as long as it counts.
constexpr std::size_t kOwnKept =
  static_cast<std::size_t>(kReportKept / kReportPeriod) + 4;

std::uint32_t
ZoneOf(std::uint64_t aGroup)
{
  return static_cast<std::uint32_t>(aGroup >> 32U);
}

bool
IsOlder(const PeerReport& aNew, const PeerReport& aKnown)
{
  return aNew.life < aKnown.life ||
         (aNew.life == aKnown.life && aNew.sequence <= aKnown.sequence);
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
  std::erase_if(m_groups, [&](const auto& aEntry) {
    return aEntry.first == aGroup || ZoneOf(aEntry.first) != ZoneOf(aGroup);
  });
  m_zones.erase(ZoneOf(aGroup));
  std::erase_if(m_told, [&](const auto& aEntry) {
    return aEntry.second.report.group != aGroup;
  });
  Sum();
}

bool
PeerView::Take(const PeerReport& aReport, TimePoint aNow)
{
  const auto keep = [&](auto& aTable, const auto& aKey) {
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
      taken = aReport.group == m_group && keep(m_told, aReport.router);
      break;
    case ReportScope::Group:
      taken = aReport.group != m_group &&
              ZoneOf(aReport.group) == ZoneOf(m_group) &&
              keep(m_groups, aReport.group);
      break;
    case ReportScope::Zone:
      taken = aReport.zone != ZoneOf(m_group) && keep(m_zones, aReport.zone);
      break;
    case ReportScope::Fleet:
      taken = keep(m_fleet, aReport.router);
      break;
  }
  if (taken) {
    SumSoon();
  }
  return taken;
}

void
PeerView::Sent(const PeerReport& aOwn)
{
  m_own.push_back(aOwn);
  m_own.back().uses.clear();
  m_own.back().members.clear();
  m_own.back().crashNews = {};
  if (m_own.size() > kOwnKept) {
    m_own.pop_front();
  }
}

void
PeerView::Forget(TimePoint aNow)
{
  const auto old = [&](const auto& aEntry) {
    return aNow - aEntry.second.at > kReportKept;
  };
  const auto dropped =
    std::erase_if(m_told, old) + std::erase_if(m_groups, old) +
    std::erase_if(m_zones, old) + std::erase_if(m_fleet, old);
  if (dropped > 0 || m_stale) {
    Sum();
  }
}

const PeerReport*
PeerView::OwnPartOf(const PeerReport& aSum) const
{
  for (const auto& own : m_own) {
    const auto self = base::RouterId(base::HashName(own.router));
    for (const auto& heard : aSum.heard) {
      if (heard.router == self && heard.sequence == own.sequence) {
        return &own;
      }
    }
  }
  return nullptr;
}

void
PeerView::SumSoon()
{
  if (m_told.size() + m_groups.size() + m_zones.size() <= kSumAtOnce) {
    Sum();
  } else {
    m_stale = true;
  }
}

void
PeerView::Sum()
{
  m_stale = false;
  m_sum.Clear();
  if (m_isHub) {
    for (const auto& [router, told] : m_told) {
      m_sum.Add(told.report, told.AsOf());
    }
    for (const auto& [group, told] : m_groups) {
      m_sum.Add(told.report, told.AsOf());
    }
    for (const auto& [zone, told] : m_zones) {
      m_sum.Add(told.report, told.AsOf());
    }
    return;
  }
  const Told* newest = nullptr;
  for (const auto& [hub, told] : m_fleet) {
    if (newest == nullptr || told.at > newest->at) {
      newest = &told;
    }
  }
  if (newest == nullptr) {
    return;
  }
  m_sum.Add(newest->report, newest->AsOf());
  if (const auto* own = OwnPartOf(newest->report)) {
    m_sum.TakeOut(*own);
  }
}

template<typename Table>
std::vector<HeardRouter>
PeerView::HeardOf(const Table& aTable)
{
  std::vector<HeardRouter> heard;
  heard.reserve(aTable.size());
  for (const auto& [key, told] : aTable) {
    heard.push_back({ base::RouterId(base::HashName(told.report.router)),
                      told.report.sequence,
                      told.report.sentAt });
  }
  return heard;
}

std::vector<HeardRouter>
PeerView::Heard() const
{
  return HeardOf(m_told);
}

LoadSum
PeerView::SumOfGroup(const PeerReport& aOwn) const
{
  LoadSum all;
  all.Add(aOwn, aOwn.sentAt);
  for (const auto& [router, told] : m_told) {
    all.Add(told.report, told.AsOf());
  }
  return all;
}

PeerReport
PeerView::SumOf(const LoadSum& aAll,
                const PeerReport& aOwn,
                ReportScope aScope,
                TimePoint aNow)
{
  auto sum = aOwn;
  sum.scope = aScope;
  sum.sentAt = aNow;
  aAll.PutInto(sum, aNow);
  return sum;
}

PeerReport
PeerView::GroupSum(const PeerReport& aOwn, TimePoint aNow) const
{
  auto sum = SumOf(SumOfGroup(aOwn), aOwn, ReportScope::Group, aNow);
  sum.heard = HeardOf(m_groups);
  return sum;
}

PeerReport
PeerView::ZoneSum(const PeerReport& aOwn, TimePoint aNow) const
{
  auto all = SumOfGroup(aOwn);
  for (const auto& [group, told] : m_groups) {
    all.Add(told.report, told.AsOf());
  }
  auto sum = SumOf(all, aOwn, ReportScope::Zone, aNow);
  sum.heard = HeardOf(m_zones);
  return sum;
}

PeerReport
PeerView::FleetSum(const PeerReport& aOwn, TimePoint aNow)
{
  if (m_stale) {
    Sum();
  }
  auto all = m_sum;
  all.Add(aOwn, aOwn.sentAt);
  auto sum = SumOf(all, aOwn, ReportScope::Fleet, aNow);
  sum.heard = Heard();
  return sum;
}

Duration
PeerView::NewsAge(TimePoint aNow) const
{
  return m_sum.Routers() == 0 ? Duration{} : aNow - m_sum.AsOf();
}

Duration
PeerView::Age(TimePoint aNow) const
{
  Duration oldest{};
  const auto look = [&](const auto& aTable) {
    for (const auto& [key, told] : aTable) {
      oldest = std::max(oldest, aNow - told.at);
    }
  };
  if (m_isHub) {
    look(m_told);
    look(m_groups);
    look(m_zones);
  } else {
    look(m_fleet);
  }
  return oldest;
}

}
