#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/bytebudget.h"

#include <map>
#include <set>
#include <vector>

namespace hemlockgauge::decision {

//! Gathers what is to be told each peer into one frame a peer, and lets go
//! of no more bytes than the budget allows; what must not wait goes anyway
//! and is paid for by what may.
class Outbox
{
public:
  Outbox(RouterId aSelf, std::uint32_t aBoot, ControlCounters& aCounters);

  void Advance(TimePoint aNow) { m_budget.Advance(aNow); }
  //! The frame that waits for a peer; fill it in.
  Frame& For(RouterId aRouter);
  void Drop(RouterId aRouter);
  std::vector<RouterId> Waiting() const;
  //! Lets the frame of a peer go even without room: silence would look
  //! like death.
  void MarkHeartbeat(RouterId aRouter) { m_heartbeats.insert(aRouter); }
  bool HasRoom(double aBytes) const
  {
    return m_budget.Allows(static_cast<std::size_t>(aBytes));
  }
  //! Takes the frame of one peer if it may go now.
  bool Take(RouterId aRouter,
            std::uint32_t aIncarnation,
            std::uint32_t aDigest,
            std::uint32_t aMembersDigest,
            Frame& aFrame);
  //! A frame to an address whose router is not known yet.
  Frame ToSeed(std::uint32_t aIncarnation);

private:
  void Count(const Frame& aFrame);

  RouterId m_self;
  std::uint32_t m_boot;
  ControlCounters& m_counters;
  ByteBudget m_budget;
  struct Pending
  {
    Frame frame;
    std::uint64_t order = 0; //!< the longest waiting goes first
  };
  std::map<RouterId, Pending> m_waiting;
  std::uint64_t m_nextOrder = 1;
  std::set<RouterId> m_heartbeats;
  std::set<RouterId> m_deferred;
  std::uint32_t m_sequence = 0;
};

}
