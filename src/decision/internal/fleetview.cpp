#include "decision/internal/fleetview.h"

#include "decision/decisionconstants.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockgauge::decision {

namespace {

constexpr double kSmallDemand = 4.0;

struct Candidate
{
  DemandEntry entry;
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
  m_own[aWorkspace] = { aDemand, aServed, aNow };
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
FleetView::Store(Table& aTable,
                 const std::vector<DemandEntry>& aEntries,
                 TimePoint aNow)
{
  for (const auto& entry : aEntries) {
    aTable[entry.workspace] = { entry.demand, entry.served, aNow };
  }
}

void
FleetView::TakeUp(RouterId aChild,
                  const std::vector<DemandEntry>& aEntries,
                  TimePoint aNow)
{
  const auto& children = m_place.children;
  if (std::find(children.begin(), children.end(), aChild) != children.end()) {
    Store(m_children[aChild], aEntries, aNow);
  }
}

void
FleetView::TakeDown(const std::vector<DemandEntry>& aEntries, TimePoint aNow)
{
  Store(m_totals, aEntries, aNow);
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
  if (!m_place.parent) {
    return Subtree(aWorkspace);
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

std::vector<DemandEntry>
FleetView::PickFor(RouterId aNeighbour,
                   TimePoint aNow,
                   Duration aRefresh,
                   std::size_t aMost)
{
  const bool toParent = m_place.parent == aNeighbour;
  Table& told = m_told[aNeighbour];
  std::vector<Candidate> candidates;
  for (const auto id : Known()) {
    const Demand now = toParent ? Subtree(id) : Total(id);
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
    const bool moved = now.demand != last.demand || now.served != last.served;
    const bool due = moved && age >= aRefresh;
    const bool emptied = now.demand == 0 && last.demand != 0;
    if (isNew || due || emptied || change > kDemandDeadBand) {
      candidates.push_back({ { id, now.demand, now.served }, change, age });
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return std::tuple(aLeft.age + aLeft.change * 2000ms,
                                aLeft.entry.workspace) >
                     std::tuple(aRight.age + aRight.change * 2000ms,
                                aRight.entry.workspace);
            });
  std::vector<DemandEntry> picked;
  for (const auto& candidate : candidates) {
    if (picked.size() == aMost) {
      break;
    }
    const auto& entry = candidate.entry;
    picked.push_back(entry);
    told[entry.workspace] = { entry.demand, entry.served, aNow };
    const auto own = m_own.find(entry.workspace);
    if (toParent && own != m_own.end()) {
      m_ownTold[entry.workspace] = own->second;
    }
  }
  return picked;
}

}
