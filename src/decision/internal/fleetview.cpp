#include "decision/internal/fleetview.h"

#include "decision/decisionconstants.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockgauge::decision {

namespace {

constexpr double kSmallDemand = 4.0;
constexpr double kUrgentDemand = 10.0;
constexpr double kUrgentChange = 0.5;

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
FleetView::SetPlace(const TreePlace& aPlace)
{
  if (aPlace == m_place) {
    return;
  }
  const auto isNeighbour = [&](RouterId aRouter) {
    return aPlace.parent == aRouter ||
           std::find(aPlace.children.begin(), aPlace.children.end(), aRouter) !=
             aPlace.children.end();
  };
  std::erase_if(m_children, [&](const auto& aOne) {
    return std::find(aPlace.children.begin(),
                     aPlace.children.end(),
                     aOne.first) == aPlace.children.end();
  });
  std::erase_if(m_told,
                [&](const auto& aOne) { return !isNeighbour(aOne.first); });
  if (aPlace.parent != m_place.parent) {
    m_ownTold.clear();
    if (aPlace.parent) {
      m_told.erase(*aPlace.parent);
    }
  }
  m_place = aPlace;
}

void
FleetView::TakeUp(RouterId aChild,
                  const std::vector<DemandEntry>& aEntries,
                  TimePoint aNow)
{
  const auto& children = m_place.children;
  if (std::find(children.begin(), children.end(), aChild) == children.end()) {
    return;
  }
  auto& table = m_children[aChild];
  for (const auto& entry : aEntries) {
    table[entry.workspace] = { entry.demand, entry.served, 0, aNow };
  }
}

void
FleetView::TakeDown(const std::vector<TotalEntry>& aEntries, TimePoint aNow)
{
  for (const auto& entry : aEntries) {
    m_totals[entry.workspace] = { entry.demand, 0, entry.behindMs, aNow };
    m_behind[entry.workspace] = entry.behindMs;
  }
}

void
FleetView::SetBehind(WorkspaceId aWorkspace, std::int32_t aMillis)
{
  m_behind[aWorkspace] = aMillis;
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
      sum.at = std::max(sum.at, found->second.at);
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
  const auto behind = m_behind.find(aWorkspace);
  if (IsRoot()) {
    Demand sum = Subtree(aWorkspace);
    sum.behindMs = behind == m_behind.end() ? 0 : behind->second;
    return sum;
  }
  const auto own = m_own.find(aWorkspace);
  const auto told = m_ownTold.find(aWorkspace);
  const auto total = m_totals.find(aWorkspace);
  Demand sum = total == m_totals.end() ? Demand{} : total->second;
  if (own != m_own.end()) {
    const std::int64_t toldDemand =
      told == m_ownTold.end() ? 0 : told->second.demand;
    sum.demand = AddSigned(sum.demand, own->second.demand - toldDemand);
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
FleetView::HasUrgentFor(RouterId aNeighbour) const
{
  const bool up = m_place.parent == aNeighbour;
  const auto table = m_told.find(aNeighbour);
  for (const auto id : Known()) {
    const Demand now = up ? Subtree(id) : Total(id);
    Demand last;
    if (table != m_told.end()) {
      const auto told = table->second.find(id);
      last = told == table->second.end() ? Demand{} : told->second;
    }
    const double change =
      std::abs(static_cast<double>(now.demand) - last.demand);
    if (change >= std::max(kUrgentDemand, kUrgentChange * last.demand)) {
      return true;
    }
  }
  return false;
}

std::vector<WorkspaceId>
FleetView::Pick(RouterId aNeighbour,
                bool aUp,
                TimePoint aNow,
                Duration aRefresh,
                std::size_t aMost)
{
  Table& told = m_told[aNeighbour];
  std::vector<Candidate> candidates;
  for (const auto id : Known()) {
    const Demand now = aUp ? Subtree(id) : Total(id);
    const auto before = told.find(id);
    const bool isNew = before == told.end();
    if (isNew && now.demand == 0 && now.served == 0) {
      continue;
    }
    const Demand last = isNew ? Demand{} : before->second;
    const double change =
      std::abs(static_cast<double>(now.demand) - last.demand) /
      std::max<double>(last.demand, kSmallDemand);
    const Duration age = isNew ? aRefresh : aNow - last.at;
    const bool moved =
      now.demand != last.demand ||
      (aUp ? now.served != last.served : now.behindMs != last.behindMs);
    const bool due = moved && age >= aRefresh;
    const bool emptied = now.demand == 0 && last.demand != 0;
    if (isNew || due || emptied || change > kDemandDeadBand) {
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
  candidates.resize(std::min(candidates.size(), aMost));
  std::vector<WorkspaceId> picked;
  for (const auto& candidate : candidates) {
    picked.push_back(candidate.workspace);
    auto& entry = told[candidate.workspace];
    entry = candidate.now;
    entry.at = aNow;
  }
  return picked;
}

std::vector<DemandEntry>
FleetView::PickUp(RouterId aParent,
                  TimePoint aNow,
                  Duration aRefresh,
                  std::size_t aMost)
{
  std::vector<DemandEntry> entries;
  for (const auto id : Pick(aParent, true, aNow, aRefresh, aMost)) {
    const auto& told = m_told[aParent][id];
    entries.push_back({ id, told.demand, told.served });
    const auto own = m_own.find(id);
    if (own != m_own.end()) {
      m_ownTold[id] = own->second;
    }
  }
  return entries;
}

std::vector<TotalEntry>
FleetView::PickDown(RouterId aChild,
                    TimePoint aNow,
                    Duration aRefresh,
                    std::size_t aMost)
{
  std::vector<TotalEntry> entries;
  for (const auto id : Pick(aChild, false, aNow, aRefresh, aMost)) {
    const auto& told = m_told[aChild][id];
    entries.push_back({ id, told.demand, told.behindMs });
  }
  return entries;
}

}
