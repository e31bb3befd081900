#pragma once

#include "base/basetypes.h"

#include <ctime>

namespace hemlockgauge::base {

//! Current time for deadlines and leases. CLOCK_BOOTTIME keeps running while
//! the process is stopped and while its host is suspended, and can't be set.
inline TimePoint
MonotonicNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<TimePoint>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}
