#pragma once

#include "base/basetypes.h"

#include <functional>

namespace hemlockgauge::timer {

//! Parts subscribe to be called again and again on the control thread.
class ITimerService
{
public:
  virtual ~ITimerService() = default;

  //! aCallback must not throw.
  virtual void Subscribe(base::Duration aPeriod,
                         std::function<void()> aCallback) = 0;
  virtual base::TimePoint Now() const = 0;
};

}
