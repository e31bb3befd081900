#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/bytebudget.h"

#include <map>
#include <set>
#include <vector>

namespace hemlockgauge::decision {

//! Collects the content for each peer in one pending frame per peer and sends
//! no more bytes than the budget allows. Urgent frames are sent at once; their
//! bytes are charged and delay the frames that may wait.
class Outbox
{
public:
  Outbox(RouterId aSelf, std::uint32_t aBoot, ControlCounters& aCounters);

  void Advance(TimePoint aNow) { m_budget.Advance(aNow); }
  //! Returns the pending frame of a peer, to be filled in; creates it if there
  //! is none.
  Frame& FrameFor(RouterId aRouter);
  void Drop(RouterId aRouter);
  //! Peers with a pending frame, the longest waiting first.
  std::vector<RouterId> PendingRouters() const;
  //! Exempts the pending frame of a peer from the budget: without heartbeats
  //! the peer would declare this router dead.
  void MarkHeartbeat(RouterId aRouter) { m_heartbeatRouters.insert(aRouter); }
  bool HasRoom(double aBytes) const
  {
    return m_budget.Allows(static_cast<std::size_t>(aBytes));
  }
  //! Moves the pending frame of a peer to aFrame if it may be sent now, and
  //! completes its header; false otherwise.
  bool TakeFrame(RouterId aRouter,
                 std::uint32_t aIncarnation,
                 std::uint32_t aDigest,
                 std::uint32_t aMembersDigest,
                 Frame& aFrame);
  //! Makes a frame for a seed address whose router is not known yet. It asks
  //! for a snapshot.
  Frame MakeSeedFrame(std::uint32_t aIncarnation);

private:
  void CountSent(const Frame& aFrame);

  RouterId m_self;
  std::uint32_t m_boot;
  ControlCounters& m_counters;
  ByteBudget m_budget;
  struct Pending
  {
    Frame frame;
    std::uint64_t order = 0; //!< of creation; the lowest is sent first
  };
  std::map<RouterId, Pending> m_pending;
  std::uint64_t m_nextOrder = 1;
  std::set<RouterId> m_heartbeatRouters;
  std::set<RouterId> m_deferredRouters;
  std::uint32_t m_sequence = 0;
};

}
