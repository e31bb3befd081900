#pragma once

#include "decision/internal/corestate.h"

#include <optional>

namespace hemlockgauge::decision {

//! Keeps the pools and the owners of upstreams up to date, and exchanges slot
//! reports and grants with other routers.
class SlotFlow
{
public:
  explicit SlotFlow(CoreState& aState)
    : m_state(aState)
  {
  }

  void Handle(const LoadReported& aEvent);
  void HandleReports(RouterId aFrom, const std::vector<SlotReport>& aReports);
  void HandleGrants(RouterId aFrom,
                    std::uint32_t aBoot,
                    const std::vector<SlotGrant>& aGrants);
  void HandleHints(RouterId aFrom, const std::vector<FreeHint>& aHints);
  void RefreshShares();
  //! Rebuilds the pools after a change of documents, hosts or members.
  void RebuildIfStale();
  //! Drops expired leases, requests and grants slots, and queues the messages
  //! for other routers.
  void Review();
  //! Queues the messages that renew all leases.
  void RenewLeases();
  void PollLoads();
  //! Returns the free slots to announce to a neighbour: those owned here and
  //! those announced by the other neighbours, at most kMaxHints.
  std::vector<FreeHint> HintsFor(RouterId aNeighbour) const;

private:
  void RebuildPools();
  void RebuildOwned();
  void ReviewBorrower(Pool& aPool, SlotBorrower& aBorrower);
  void QueueReport(RouterId aOwner, const SlotReport& aReport);
  void QueueGrant(RouterId aBorrower, const SlotGrant& aGrant);
  void DeliverReports();
  void DeliverGrants();
  bool HasJoined() const;
  std::size_t OwnRank() const;
  double AliveRatio() const;

  CoreState& m_state;
  std::map<RouterId, std::vector<FreeHint>> m_hints;
  std::uint64_t m_membershipVersion = 0;
  bool m_joined = false;
  std::optional<TimePoint> m_startedAt;
};

}
