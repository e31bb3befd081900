#include "fleet/acceptqueuelimit.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <chrono>

namespace hemlockgauge::fleet {

std::size_t
AcceptQueueLimit(double aProcessorShare)
{
  const double waitSeconds =
    std::chrono::duration<double>(kMaxAcceptWait).count();
  const double acceptable =
    kRequestsPerCoreSecond * aProcessorShare * waitSeconds;
  return std::clamp(
    static_cast<std::size_t>(acceptable), kMinAcceptQueue, kMaxAcceptQueue);
}

}
