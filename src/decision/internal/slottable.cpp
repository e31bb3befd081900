#include "decision/internal/slottable.h"

namespace hemlockgauge::decision {

std::uint32_t
SlotTable::TotalLimit() const
{
  std::uint32_t total = 0;
  for (const auto& [id, slot] : m_slots) {
    total += slot.limit;
  }
  return total;
}

std::uint32_t
SlotTable::TotalInUse() const
{
  std::uint32_t total = 0;
  for (const auto& [id, slot] : m_slots) {
    total += slot.inUse;
  }
  return total;
}

std::optional<UpstreamId>
SlotTable::FindMostFree(std::optional<UpstreamId> aExcluded) const
{
  std::optional<UpstreamId> best;
  std::uint32_t bestFree = 0;
  for (const auto& [id, slot] : m_slots) {
    if (id != aExcluded && slot.Free() > bestFree) {
      best = id;
      bestFree = slot.Free();
    }
  }
  return best;
}

std::uint32_t
SlotTable::OverdraftCount() const
{
  std::uint32_t total = 0;
  for (const auto& [id, slot] : m_slots) {
    total += slot.inUse > slot.limit ? slot.inUse - slot.limit : 0;
  }
  return total;
}

std::optional<UpstreamId>
SlotTable::FindOverdraft(std::optional<UpstreamId> aExcluded) const
{
  std::optional<UpstreamId> best;
  std::uint32_t bestLimit = 0;
  for (const auto& [id, slot] : m_slots) {
    const bool open = slot.IsOpen() && slot.inUse <= slot.limit;
    if (id == aExcluded || !open) {
      continue;
    }
    if (!best || slot.limit > bestLimit) {
      best = id;
      bestLimit = slot.limit;
    }
  }
  return best;
}

}
