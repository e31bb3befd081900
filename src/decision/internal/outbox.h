#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/bytebudget.h"

#include <map>
#include <vector>

namespace hemlockgauge::decision {

//! Gathers what is to be told each peer into one frame a peer, and lets go
//! of no more bytes than the budget allows; what must not wait goes anyway
//! and is paid for by what may.
class Outbox
{
public:
  Outbox(RouterId aSelf, ControlCounters& aCounters);

  void Advance(TimePoint aNow) { m_budget.Advance(aNow); }
  //! The frame that waits for a peer; fill it in.
  Frame& For(RouterId aRouter) { return m_waiting[aRouter]; }
  void Drop(RouterId aRouter) { m_waiting.erase(aRouter); }
  std::vector<RouterId> Waiting() const;
  //! Takes the frame of one peer if it may go now.
  bool Take(RouterId aRouter,
            std::uint32_t aIncarnation,
            std::uint32_t aDigest,
            Frame& aFrame);
  bool RoomFor(std::size_t aBytes) const { return m_budget.Allows(aBytes); }
  //! A frame to an address whose router is not known yet.
  Frame ToSeed(std::uint32_t aIncarnation);

private:
  void Count(const Frame& aFrame);

  RouterId m_self;
  ControlCounters& m_counters;
  ByteBudget m_budget;
  std::map<RouterId, Frame> m_waiting;
  std::uint32_t m_sequence = 0;
};

}
