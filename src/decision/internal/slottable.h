#pragma once

#include "decision/decisiontypes.h"

#include <map>
#include <optional>

namespace hemlockgauge::decision {

//! The slots of one pool's upstreams that this router may use and does use.
class SlotTable
{
public:
  struct Slot
  {
    std::uint32_t limit = 0;
    std::uint32_t inUse = 0;
    //! Ejected, leaving or gone: running work goes on, none is added.
    bool closed = false;

    std::uint32_t Free() const
    {
      return closed || inUse >= limit ? 0 : limit - inUse;
    }
  };

  Slot& At(UpstreamId aUpstream) { return m_slots[aUpstream]; }
  const std::map<UpstreamId, Slot>& All() const { return m_slots; }
  std::map<UpstreamId, Slot>& All() { return m_slots; }
  std::uint32_t TotalLimit() const;
  std::uint32_t TotalInUse() const;
  //! The open upstream with most free slots, other than aExcluded.
  std::optional<UpstreamId> MostFree(std::optional<UpstreamId> aExcluded) const;
  //! Uses beyond the limits.
  std::uint32_t Overdrafts() const;
  //! The open upstream to overdraw: the one with most slots and no overdraft.
  std::optional<UpstreamId> BestOverdraft(
    std::optional<UpstreamId> aExcluded) const;

private:
  std::map<UpstreamId, Slot> m_slots;
};

}
