#include "decision/internal/fleetview.h"

#include "decision/decisionconstants.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockgauge::decision {

namespace {

constexpr double kMinDemandForChange = 4.0;
constexpr double kMinUrgentChange = 10.0;
constexpr double kMinUrgentChangeRatio = 0.5;

struct Candidate
{
  WorkspaceId workspace{};
  Demand now;
  double change = 0;
  Duration age{};
};

std::uint32_t
AddSigned(std::uint32_t aBase, std::int64_t aDelta)
{
  return static_cast<std::uint32_t>(
    std::max<std::int64_t>(0, static_cast<std::int64_t>(aBase) + aDelta));
}

}

void
FleetView::SetOwn(WorkspaceId aWorkspace,
                  std::uint32_t aDemand,
                  std::uint32_t aServed,
                  TimePoint aNow)
{
  m_own[aWorkspace] = { aDemand, aServed, 0, aNow };
}

void
FleetView::SetPosition(const TreePosition& aPosition)
{
  if (aPosition == m_position) {
    return;
  }
  const auto isNeighbour = [&](RouterId aRouter) {
    return aPosition.parent == aRouter ||
           std::find(aPosition.children.begin(),
                     aPosition.children.end(),
                     aRouter) != aPosition.children.end();
  };
  std::erase_if(m_children, [&](const auto& aOne) {
    return std::find(aPosition.children.begin(),
                     aPosition.children.end(),
                     aOne.first) == aPosition.children.end();
  });
  std::erase_if(m_sent,
                [&](const auto& aOne) { return !isNeighbour(aOne.first); });
  if (aPosition.parent != m_position.parent) {
    m_ownSent.clear();
    if (aPosition.parent) {
      m_sent.erase(*aPosition.parent);
    }
  }
  m_position = aPosition;
}

void
FleetView::HandleChildDemand(RouterId aChild,
                             const std::vector<DemandEntry>& aEntries,
                             TimePoint aNow)
{
  const auto& children = m_position.children;
  if (std::find(children.begin(), children.end(), aChild) == children.end()) {
    return;
  }
  auto& table = m_children[aChild];
  for (const auto& entry : aEntries) {
    table[entry.workspace] = { entry.demand, entry.served, 0, aNow };
  }
}

void
FleetView::HandleTotals(const std::vector<TotalEntry>& aEntries, TimePoint aNow)
{
  for (const auto& entry : aEntries) {
    m_totals[entry.workspace] = { entry.demand, 0, entry.lagMs, aNow };
    m_lagMs[entry.workspace] = entry.lagMs;
  }
}

void
FleetView::SetLag(WorkspaceId aWorkspace, std::int32_t aLagMs)
{
  m_lagMs[aWorkspace] = aLagMs;
}

Demand
FleetView::Subtree(WorkspaceId aWorkspace) const
{
  Demand sum;
  const auto add = [&](const Table& aTable) {
    const auto found = aTable.find(aWorkspace);
    if (found != aTable.end()) {
      sum.demand += found->second.demand;
      sum.served += found->second.served;
      sum.updatedAt = std::max(sum.updatedAt, found->second.updatedAt);
    }
  };
  add(m_own);
  for (const auto& [child, table] : m_children) {
    add(table);
  }
  return sum;
}

Demand
FleetView::Total(WorkspaceId aWorkspace) const
{
  const auto lag = m_lagMs.find(aWorkspace);
  if (IsRoot()) {
    Demand sum = Subtree(aWorkspace);
    sum.lagMs = lag == m_lagMs.end() ? 0 : lag->second;
    return sum;
  }
  const auto own = m_own.find(aWorkspace);
  const auto sent = m_ownSent.find(aWorkspace);
  const auto total = m_totals.find(aWorkspace);
  Demand sum = total == m_totals.end() ? Demand{} : total->second;
  if (own != m_own.end()) {
    const std::int64_t sentDemand =
      sent == m_ownSent.end() ? 0 : sent->second.demand;
    sum.demand = AddSigned(sum.demand, own->second.demand - sentDemand);
    sum.demand = std::max(sum.demand, own->second.demand);
  }
  return sum;
}

std::vector<WorkspaceId>
FleetView::Known() const
{
  std::set<WorkspaceId> known;
  for (const auto& [id, demand] : m_own) {
    known.insert(id);
  }
  for (const auto& [child, table] : m_children) {
    for (const auto& [id, demand] : table) {
      known.insert(id);
    }
  }
  for (const auto& [id, demand] : m_totals) {
    known.insert(id);
  }
  return { known.begin(), known.end() };
}

bool
FleetView::HasUrgentChangeFor(RouterId aNeighbour) const
{
  const bool toParent = m_position.parent == aNeighbour;
  const auto table = m_sent.find(aNeighbour);
  for (const auto id : Known()) {
    const Demand now = toParent ? Subtree(id) : Total(id);
    Demand last;
    if (table != m_sent.end()) {
      const auto sent = table->second.find(id);
      last = sent == table->second.end() ? Demand{} : sent->second;
    }
    const double change =
      std::abs(static_cast<double>(now.demand) - last.demand);
    if (change >=
        std::max(kMinUrgentChange, kMinUrgentChangeRatio * last.demand)) {
      return true;
    }
  }
  return false;
}

std::vector<WorkspaceId>
FleetView::Pick(RouterId aNeighbour,
                bool aToParent,
                TimePoint aNow,
                Duration aRefresh,
                std::size_t aMaxEntries)
{
  Table& sent = m_sent[aNeighbour];
  std::vector<Candidate> candidates;
  for (const auto id : Known()) {
    const Demand now = aToParent ? Subtree(id) : Total(id);
    const auto before = sent.find(id);
    const bool isNew = before == sent.end();
    if (isNew && now.demand == 0 && now.served == 0) {
      continue;
    }
    const Demand last = isNew ? Demand{} : before->second;
    const double change =
      std::abs(static_cast<double>(now.demand) - last.demand) /
      std::max<double>(last.demand, kMinDemandForChange);
    const Duration age = isNew ? aRefresh : aNow - last.updatedAt;
    const bool hasChanged =
      now.demand != last.demand ||
      (aToParent ? now.served != last.served : now.lagMs != last.lagMs);
    const bool due = hasChanged && age >= aRefresh;
    const bool becameZero = now.demand == 0 && last.demand != 0;
    if (isNew || due || becameZero || change > kDemandDeadBand) {
      candidates.push_back({ id, now, change, age });
    }
  }
  std::sort(
    candidates.begin(),
    candidates.end(),
    [](const Candidate& aLeft, const Candidate& aRight) {
      return std::tuple(aLeft.age + aLeft.change * 2000ms, aLeft.workspace) >
             std::tuple(aRight.age + aRight.change * 2000ms, aRight.workspace);
    });
  candidates.resize(std::min(candidates.size(), aMaxEntries));
  std::vector<WorkspaceId> picked;
  for (const auto& candidate : candidates) {
    picked.push_back(candidate.workspace);
    auto& entry = sent[candidate.workspace];
    entry = candidate.now;
    entry.updatedAt = aNow;
  }
  return picked;
}

std::vector<DemandEntry>
FleetView::PickForParent(RouterId aParent,
                         TimePoint aNow,
                         Duration aRefresh,
                         std::size_t aMaxEntries)
{
  std::vector<DemandEntry> entries;
  for (const auto id : Pick(aParent, true, aNow, aRefresh, aMaxEntries)) {
    const auto& sent = m_sent[aParent][id];
    entries.push_back({ id, sent.demand, sent.served });
    const auto own = m_own.find(id);
    if (own != m_own.end()) {
      m_ownSent[id] = own->second;
    }
  }
  return entries;
}

std::vector<TotalEntry>
FleetView::PickForChild(RouterId aChild,
                        TimePoint aNow,
                        Duration aRefresh,
                        std::size_t aMaxEntries)
{
  std::vector<TotalEntry> entries;
  for (const auto id : Pick(aChild, false, aNow, aRefresh, aMaxEntries)) {
    const auto& sent = m_sent[aChild][id];
    entries.push_back({ id, sent.demand, sent.lagMs });
  }
  return entries;
}

}
