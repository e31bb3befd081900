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
  std::uint32_t served = 0;  //!< known up the tree only
  std::int32_t behindMs = 0; //!< told down the tree
  TimePoint at{};            //!< when it last changed
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
  void TakeDown(const std::vector<TotalEntry>& aEntries, TimePoint aNow);
  bool IsRoot() const { return !m_place.parent.has_value(); }
  //! At the root: how far a workspace is behind, to be told down.
  void SetBehind(WorkspaceId aWorkspace, std::int32_t aMillis);

  //! Whether a neighbour should hear of something before its round.
  bool HasUrgentFor(RouterId aNeighbour) const;
  //! What is worth telling the parent or a child now, most urgent first.
  std::vector<DemandEntry> PickUp(RouterId aParent,
                                  TimePoint aNow,
                                  Duration aRefresh,
                                  std::size_t aMost);
  std::vector<TotalEntry> PickDown(RouterId aChild,
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
  std::vector<WorkspaceId> Pick(RouterId aNeighbour,
                                bool aUp,
                                TimePoint aNow,
                                Duration aRefresh,
                                std::size_t aMost);

  TreePlace m_place;
  Table m_own;
  std::map<RouterId, Table> m_children;
  Table m_totals;
  std::map<RouterId, Table> m_told;
  Table m_ownTold;
  std::map<WorkspaceId, std::int32_t> m_behind;
};

}
