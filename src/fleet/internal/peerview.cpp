#include "fleet/peerview.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! A view of more tellings than this is summed up once a period instead of
//! at each of them.
constexpr std::size_t kSumAtOnce = 12;
//! Own tellings that a sum may still hold: as long as it counts.
constexpr std::size_t kOwnKept =
  static_cast<std::size_t>(kTellingKept / kTellPeriod) + 4;

bool
IsOlder(const Telling& aNew, const Telling& aKnown)
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
  m_groups.erase(aGroup);
  std::erase_if(m_told, [&](const auto& aEntry) {
    return aEntry.second.telling.group != aGroup;
  });
  Sum();
}

bool
PeerView::Take(const Telling& aTelling, TimePoint aNow)
{
  const auto keep = [&](auto& aTable, const auto& aKey) {
    const auto found = aTable.find(aKey);
    const bool known =
      found != aTable.end() && found->second.telling.router == aTelling.router;
    if (known && IsOlder(aTelling, found->second.telling)) {
      return false;
    }
    aTable[aKey] = { aTelling, aNow };
    return true;
  };
  bool taken = false;
  switch (aTelling.scope) {
    case TellingScope::Router:
      taken = aTelling.group == m_group && keep(m_told, aTelling.router);
      break;
    case TellingScope::Group:
      taken = aTelling.group != m_group && keep(m_groups, aTelling.group);
      break;
    case TellingScope::Fleet:
      taken = keep(m_fleet, aTelling.router);
      break;
  }
  if (taken) {
    SumSoon();
  }
  return taken;
}

void
PeerView::Sent(const Telling& aOwn)
{
  m_own.push_back(aOwn);
  m_own.back().uses.clear();
  m_own.back().members.clear();
  if (m_own.size() > kOwnKept) {
    m_own.pop_front();
  }
}

void
PeerView::Forget(TimePoint aNow)
{
  const auto old = [&](const auto& aEntry) {
    return aNow - aEntry.second.at > kTellingKept;
  };
  const auto dropped = std::erase_if(m_told, old) +
                       std::erase_if(m_groups, old) +
                       std::erase_if(m_fleet, old);
  if (dropped > 0 || m_stale) {
    Sum();
  }
}

const Telling*
PeerView::OwnPartOf(const Telling& aSum) const
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
  if (m_told.size() + m_groups.size() <= kSumAtOnce) {
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
      m_sum.Add(told.telling);
    }
    for (const auto& [group, told] : m_groups) {
      m_sum.Add(told.telling);
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
  m_sum.Add(newest->telling);
  if (const auto* own = OwnPartOf(newest->telling)) {
    m_sum.TakeOut(*own);
  }
}

std::vector<HeardRouter>
PeerView::Heard() const
{
  std::vector<HeardRouter> heard;
  for (const auto& [router, told] : m_told) {
    heard.push_back({ base::RouterId(base::HashName(router)),
                      told.telling.sequence,
                      told.telling.sentAt });
  }
  return heard;
}

Telling
PeerView::GroupSum(const Telling& aOwn) const
{
  LoadSum all;
  all.Add(aOwn);
  for (const auto& [router, told] : m_told) {
    all.Add(told.telling);
  }
  auto sum = aOwn;
  sum.scope = TellingScope::Group;
  all.PutInto(sum);
  return sum;
}

Telling
PeerView::FleetSum(const Telling& aOwn) const
{
  auto all = m_sum;
  all.Add(aOwn);
  auto sum = aOwn;
  sum.scope = TellingScope::Fleet;
  all.PutInto(sum);
  return sum;
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
  } else {
    look(m_fleet);
  }
  return oldest;
}

}
