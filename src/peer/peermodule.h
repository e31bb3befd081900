#pragma once

#include <memory>

class ACE_Reactor;

namespace hemlockgauge::timer {
class ITimerService;
}

namespace hemlockgauge::peer {

class IPeerTransport;

std::unique_ptr<IPeerTransport>
MakePeerTransport(ACE_Reactor& aReactor, timer::ITimerService& aTimers);

}
