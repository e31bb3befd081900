#include "decision/internal/slotpolicy.h"

#include <algorithm>

namespace hemlockgauge::decision {

SlotPolicy
MakeSlotPolicy(document::PolicyKind aKind)
{
  switch (aKind) {
    case document::PolicyKind::EqualPart:
      return EqualPartPolicy{};
    case document::PolicyKind::LeastLoaded:
      return LeastLoadedPolicy{};
    case document::PolicyKind::Entitlement:
      break;
  }
  return LeasePolicy{};
}

void
SetEqualParts(const std::vector<LentUpstream>& aUpstreams,
              std::size_t aRank,
              std::size_t aRouters,
              SlotTable& aTable)
{
  std::size_t index = 0;
  for (const auto& lent : aUpstreams) {
    auto& slot = aTable.At(lent.upstream);
    slot.limit = 0;
    for (std::uint32_t i = 0; i < lent.capacity; ++i) {
      slot.limit += index++ % aRouters == aRank ? 1 : 0;
    }
  }
}

void
SetReportedLimit(const LentUpstream& aUpstream,
                 std::uint32_t aRunning,
                 SlotTable& aTable)
{
  auto& slot = aTable.At(aUpstream.upstream);
  const auto others = aRunning > slot.inUse ? aRunning - slot.inUse : 0;
  slot.limit = aUpstream.capacity > others ? aUpstream.capacity - others : 0;
}

}
