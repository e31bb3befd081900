#include "fleet/admission.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! The part of its target within which a request must be foreseen.
double
LimitPart(const AdmissionInput& aInput)
{
  if (aInput.insideShare) {
    return kInsideShareLimit;
  }
  const double behind = 1.0 / std::max(aInput.excess, kExcessLeast);
  return kOutsideShareLimit * std::min(behind * behind, kBehindMost);
}

}

Admission
Admit(const AdmissionInput& aInput)
{
  const double part = LimitPart(aInput);
  const auto target = static_cast<double>(aInput.target.count());
  const auto waited = static_cast<double>(aInput.waited.count());
  const double limit = part * target - waited;
  const bool ahead = !aInput.insideShare && aInput.excess > 1.0;
  if (aInput.foreseenMs <= limit || (aInput.placesFree && !ahead)) {
    return {};
  }
  const auto left = static_cast<double>(aInput.timeLeft.count());
  const double wait = std::min(aInput.foreseenMs, kRetryAfterPart * left);
  return { false,
           std::max(kRetryAfterLeast,
                    Duration(static_cast<std::int64_t>(wait))) };
}

}
