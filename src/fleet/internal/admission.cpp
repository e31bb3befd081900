#include "fleet/admission.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

Admission
Admit(const AdmissionInput& aInput)
{
  const double part =
    aInput.insideShare ? kInsideShareLimit : kOutsideShareLimit;
  const auto target = static_cast<double>(aInput.target.count());
  const auto waited = static_cast<double>(aInput.waited.count());
  const double limit = part * target - waited;
  if (aInput.foreseenMs <= limit || aInput.placesFree) {
    return {};
  }
  const auto left = static_cast<double>(aInput.timeLeft.count());
  const double wait = std::min(aInput.foreseenMs, kRetryAfterPart * left);
  return { false,
           std::max(kRetryAfterLeast,
                    Duration(static_cast<std::int64_t>(wait))) };
}

}
