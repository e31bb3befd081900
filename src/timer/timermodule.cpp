#include "timer/timermodule.h"

#include "timer/internal/reactortimerservice.h"

namespace hemlockgauge::timer {

std::unique_ptr<ITimerService>
MakeTimerService(ACE_Reactor& aReactor)
{
  return std::make_unique<ReactorTimerService>(aReactor);
}

}
