#include "fleet/admission.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

Admission
Admit(const AdmissionInput& aInput)
{
  const auto target = static_cast<double>(aInput.target.count());
  const auto waited = static_cast<double>(aInput.waited.count());
  //! NOTE a prompt whose reading alone takes longer than its target need only
  //! not wait long for others: large ones are not refused for their size.
  const double limit =
    std::max(kTargetPart * target, kOwnReading * aInput.ownMs);
  const bool inTime = aInput.foreseenMs + waited <= limit;
  if (aInput.placesFree || (inTime && aInput.passesLevel)) {
    return {};
  }
  const auto left = static_cast<double>(aInput.timeLeft.count());
  const double wait = std::min(std::max(aInput.foreseenMs, kLevelWaitMs),
                               kRetryAfterPart * left);
  return { false,
           std::max(kRetryAfterLeast,
                    Duration(static_cast<std::int64_t>(wait))) };
}

}
