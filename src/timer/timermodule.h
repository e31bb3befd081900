#pragma once

#include <memory>

class ACE_Reactor;

namespace hemlockgauge::timer {

class ITimerService;

std::unique_ptr<ITimerService>
MakeTimerService(ACE_Reactor& aReactor);

}
