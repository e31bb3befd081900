#include "fleet/queuelimit.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <chrono>

namespace hemlockgauge::fleet {

std::size_t
QueueLimit(double aProcessorShare)
{
  const double waitSeconds = std::chrono::duration<double>(kQueueWait).count();
  const double acceptable = kReadPerCoreSecond * aProcessorShare * waitSeconds;
  return std::clamp(
    static_cast<std::size_t>(acceptable), kQueueLeast, kQueueMost);
}

}
