#pragma once

#include "decision/decisiontypes.h"

#include <map>
#include <optional>

namespace hemlockgauge::decision {

//! Holds, for each upstream of a pool, the slots that this router may use and
//! those that it uses.
class SlotTable
{
public:
  struct Slot
  {
    std::uint32_t limit = 0;
    std::uint32_t inUse = 0;
    //! The upstream is ejected, leaving or gone: running requests continue, no
    //! request is added.
    bool closed = false;
    //! The upstream wants no requests from this router for a time. Other
    //! routers may use it, so its slots stay held.
    bool paused = false;

    bool IsOpen() const { return !closed && !paused; }
    std::uint32_t Free() const
    {
      return !IsOpen() || inUse >= limit ? 0 : limit - inUse;
    }
  };

  Slot& At(UpstreamId aUpstream) { return m_slots[aUpstream]; }
  const std::map<UpstreamId, Slot>& All() const { return m_slots; }
  std::map<UpstreamId, Slot>& All() { return m_slots; }
  std::uint32_t TotalLimit() const;
  std::uint32_t TotalInUse() const;
  //! Returns the open upstream with the most free slots, except aExcluded.
  std::optional<UpstreamId> FindMostFree(
    std::optional<UpstreamId> aExcluded) const;
  //! Returns the number of slots used beyond the limits.
  std::uint32_t OverdraftCount() const;
  //! Returns the open upstream to overdraw: the one with the highest limit
  //! among those without overdraft, except aExcluded.
  std::optional<UpstreamId> FindOverdraft(
    std::optional<UpstreamId> aExcluded) const;

private:
  std::map<UpstreamId, Slot> m_slots;
};

}
