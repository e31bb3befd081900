#pragma once

#include "base/basetypes.h"

#include <ctime>

namespace hemlockgauge::base {

//! The time that deadlines and leases are held against. It goes on while a
//! process stands still and while its host is suspended, and no one sets it.
inline TimePoint
MonotonicNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<TimePoint>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}
