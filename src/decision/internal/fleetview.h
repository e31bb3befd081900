#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/membership.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockgauge::decision {

//! Demand and service of one workspace over a set of routers.
struct Demand
{
  std::uint32_t demand = 0; //!< requests queued and running
  std::uint32_t served = 0; //!< in kServedUnitMs; of this router's subtree only
  std::int32_t behindMs = 0; //!< lag; computed by the root of the tree
  TimePoint at{};            //!< time of the last update
};

//! Aggregates demand and service of each workspace over the fleet: each router
//! sends the sum over its subtree to its parent, and the root sends the totals
//! down the tree.
class FleetView
{
public:
  void SetOwn(WorkspaceId aWorkspace,
              std::uint32_t aDemand,
              std::uint32_t aServed,
              TimePoint aNow);
  void SetPlace(const TreePlace& aPlace);
  //! Stores the sums that a child sent.
  void TakeUp(RouterId aChild,
              const std::vector<DemandEntry>& aEntries,
              TimePoint aNow);
  //! Stores the totals that the parent sent.
  void TakeDown(const std::vector<TotalEntry>& aEntries, TimePoint aNow);
  bool IsRoot() const { return !m_place.parent.has_value(); }
  //! Sets the lag of a workspace, which is sent down the tree; at the root
  //! only.
  void SetBehind(WorkspaceId aWorkspace, std::int32_t aMillis);

  //! Whether a demand changed so much that a neighbour should receive it before
  //! the next regular heartbeat.
  bool HasUrgentFor(RouterId aNeighbour) const;
  //! Returns at most aMost entries to send to the parent or to a child, the
  //! most urgent first: large changes, and smaller ones not sent for aRefresh.
  //! Marks them as sent.
  std::vector<DemandEntry> PickUp(RouterId aParent,
                                  TimePoint aNow,
                                  Duration aRefresh,
                                  std::size_t aMost);
  std::vector<TotalEntry> PickDown(RouterId aChild,
                                   TimePoint aNow,
                                   Duration aRefresh,
                                   std::size_t aMost);

  //! Total over the fleet as far as known, with the current demand of this
  //! router.
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
  std::map<RouterId, Table> m_children; //!< sums received from each child
  Table m_totals;                       //!< received from the parent
  std::map<RouterId, Table> m_told;     //!< last sent to each neighbour
  Table m_ownTold; //!< own values that the last sums sent to the parent contain
  std::map<WorkspaceId, std::int32_t> m_behind;
};

}
