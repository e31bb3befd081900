#pragma once

#include "base/basetypes.h"

#include <functional>

namespace hemlockgauge::timer {

//! Calls subscribers periodically, on the thread that runs the timers, and
//! provides the current time.
class ITimerService
{
public:
  virtual ~ITimerService() = default;

  //! Calls aCallback every aPeriod, first after one aPeriod. aCallback must not
  //! throw.
  virtual void SchedulePeriodic(base::Duration aPeriod,
                                std::function<void()> aCallback) = 0;
  virtual base::TimePoint Now() const = 0;
};

}
