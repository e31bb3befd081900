#pragma once

#include "fleet/exchangeplan.h"
#include "fleet/streamtypes.h"

#include <cstddef>
#include <vector>

namespace hemlockgauge::fleet {

//! Returns the first aCount routers in the order in which they hold a stream's
//! record, without aSelf.
//!
//! The order is that of rendezvous hashing, except that the second router is
//! the first one of another availability zone, if there is one. All routers
//! with the same members compute the same order. A router that appears moves
//! the others back by one place, and one that is lost moves none back, so that
//! a lookup at a few more routers than hold copies tolerates differences
//! between the members that two routers know.
std::vector<FleetMember>
StreamHolders(StreamId aStream,
              const std::vector<FleetMember>& aMembers,
              const base::Address& aSelf,
              std::size_t aCount);

}
