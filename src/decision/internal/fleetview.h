#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/membership.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockgauge::decision {

struct Demand
{
  std::uint32_t demand = 0;
  std::uint32_t served = 0;
  TimePoint at{}; //!< when it last changed
};

//! Demand and service of every workspace over the whole fleet, summed up
//! the tree of routers and told down it again.
class FleetView
{
public:
  void SetOwn(WorkspaceId aWorkspace,
              std::uint32_t aDemand,
              std::uint32_t aServed,
              TimePoint aNow);
  void SetPlace(const TreePlace& aPlace);
  void TakeUp(RouterId aChild,
              const std::vector<DemandEntry>& aEntries,
              TimePoint aNow);
  void TakeDown(const std::vector<DemandEntry>& aEntries, TimePoint aNow);

  //! What is worth telling a neighbour now, most urgent first.
  std::vector<DemandEntry> PickFor(RouterId aNeighbour,
                                   TimePoint aNow,
                                   Duration aRefresh,
                                   std::size_t aMost);

  //! Over the whole fleet as far as known, with our own part up to date.
  Demand Total(WorkspaceId aWorkspace) const;
  const std::map<WorkspaceId, Demand>& Own() const { return m_own; }
  std::vector<WorkspaceId> Known() const;

private:
  using Table = std::map<WorkspaceId, Demand>;
  Demand Subtree(WorkspaceId aWorkspace) const;
  static void Store(Table& aTable,
                    const std::vector<DemandEntry>& aEntries,
                    TimePoint aNow);

  TreePlace m_place;
  Table m_own;
  std::map<RouterId, Table> m_children;
  Table m_totals;
  std::map<RouterId, Table> m_told;
  Table m_ownTold;
};

}
