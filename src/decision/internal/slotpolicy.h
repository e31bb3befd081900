#pragma once

#include "decision/internal/slotborrower.h"

#include <map>
#include <variant>

namespace hemlockgauge::decision {

//! Slots are leased from the owners of the upstreams.
struct LeasePolicy
{
  SlotBorrower borrower;
};

//! Baseline: each router has a fixed equal part of the slots, without leases.
struct EqualPartPolicy
{};

//! Baseline: each router uses the slots that the upstreams report as free,
//! first come, first served.
struct LeastLoadedPolicy
{};

using SlotPolicy =
  std::variant<LeasePolicy, EqualPartPolicy, LeastLoadedPolicy>;

SlotPolicy
MakeSlotPolicy(document::PolicyKind aKind);

//! Sets each limit to this router's equal part: the slots of the pool are
//! numbered consecutively, and those with number modulo aRouters equal to aRank
//! belong to this router.
void
SetEqualParts(const std::vector<LentUpstream>& aUpstreams,
              std::size_t aRank,
              std::size_t aRouters,
              SlotTable& aTable);

//! Sets the limit of an upstream to its capacity minus the requests of other
//! routers, derived from aRunning as the upstream reports it.
void
SetReportedLimit(const LentUpstream& aUpstream,
                 std::uint32_t aRunning,
                 SlotTable& aTable);

}
