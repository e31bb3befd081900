#pragma once

#include <memory>

class ACE_Reactor;

namespace hemlockgauge::timer {

class ITimerService;

//! Creates a timer service on aReactor, which must outlive it.
std::unique_ptr<ITimerService>
MakeTimerService(ACE_Reactor& aReactor);

}
