#include "fleet/queuelimit.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <chrono>

namespace hemlockgauge::fleet {

std::size_t
QueueLimit(double aProcessorShare)
{
  const double seconds = std::chrono::duration<double>(kQueueWait).count();
  const double read = kReadPerCoreSecond * aProcessorShare * seconds;
  return std::clamp(static_cast<std::size_t>(read), kQueueLeast, kQueueMost);
}

}
