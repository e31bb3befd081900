#pragma once

#include "base/basetypes.h"

namespace hemlockgauge::base {

//! The time that deadlines and leases are held against. It goes on while a
//! process stands still.
inline TimePoint
MonotonicNow()
{
  return std::chrono::duration_cast<TimePoint>(
    std::chrono::steady_clock::now().time_since_epoch());
}

}
