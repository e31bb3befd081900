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
  std::int32_t lagMs = 0;   //!< lag; computed by the root of the tree
  TimePoint updatedAt{};    //!< time of the last update
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
  void SetPosition(const TreePosition& aPosition);
  //! Stores the sums that a child sent.
  void HandleChildDemand(RouterId aChild,
                         const std::vector<DemandEntry>& aEntries,
                         TimePoint aNow);
  //! Stores the totals that the parent sent.
  void HandleTotals(const std::vector<TotalEntry>& aEntries, TimePoint aNow);
  bool IsRoot() const { return !m_position.parent.has_value(); }
  //! Sets the lag of a workspace, which is sent down the tree; at the root
  //! only.
  void SetLag(WorkspaceId aWorkspace, std::int32_t aLagMs);

  //! Whether a demand changed so much that a neighbour should receive it before
  //! the next regular heartbeat.
  bool HasUrgentChangeFor(RouterId aNeighbour) const;
  //! Returns at most aMaxEntries entries to send to the parent or to a child,
  //! the most urgent first: large changes, and smaller ones not sent for
  //! aRefresh. Marks them as sent.
  std::vector<DemandEntry> PickForParent(RouterId aParent,
                                         TimePoint aNow,
                                         Duration aRefresh,
                                         std::size_t aMaxEntries);
  std::vector<TotalEntry> PickForChild(RouterId aChild,
                                       TimePoint aNow,
                                       Duration aRefresh,
                                       std::size_t aMaxEntries);

  //! Total over the fleet as far as known, with the current demand of this
  //! router.
  Demand Total(WorkspaceId aWorkspace) const;
  const std::map<WorkspaceId, Demand>& Own() const { return m_own; }
  std::vector<WorkspaceId> Known() const;

private:
  using Table = std::map<WorkspaceId, Demand>;
  Demand Subtree(WorkspaceId aWorkspace) const;
  std::vector<WorkspaceId> Pick(RouterId aNeighbour,
                                bool aToParent,
                                TimePoint aNow,
                                Duration aRefresh,
                                std::size_t aMaxEntries);

  TreePosition m_position;
  Table m_own;
  std::map<RouterId, Table> m_children; //!< sums received from each child
  Table m_totals;                       //!< received from the parent
  std::map<RouterId, Table> m_sent;     //!< last sent to each neighbour
  Table m_ownSent; //!< own values that the last sums sent to the parent contain
  std::map<WorkspaceId, std::int32_t> m_lagMs;
};

}
