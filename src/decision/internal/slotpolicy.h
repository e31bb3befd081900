#pragma once

#include "decision/internal/slotborrower.h"

#include <map>
#include <variant>

namespace hemlockgauge::decision {

//! Slots by lease from the owners of the upstreams.
struct LeasePolicy
{
  SlotBorrower borrower;
};

//! Baseline: every router alone with an equal part of the slots.
struct EqualPartPolicy
{};

//! Baseline: what the upstreams report as free, to whoever comes first.
struct LeastLoadedPolicy
{};

using SlotPolicy =
  std::variant<LeasePolicy, EqualPartPolicy, LeastLoadedPolicy>;

SlotPolicy
MakeSlotPolicy(document::PolicyKind aKind);

//! Sets each limit to this router's equal part: slots are counted through
//! the pool, and every aRouters-th from aRank on is ours.
void
SetEqualParts(const std::vector<LentUpstream>& aUpstreams,
              std::size_t aRank,
              std::size_t aRouters,
              SlotTable& aTable);

//! Sets a limit to what others leave free by the upstream's own report.
void
SetReportedLimit(const LentUpstream& aUpstream,
                 std::uint32_t aRunning,
                 SlotTable& aTable);

}
