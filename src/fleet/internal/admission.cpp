#include "fleet/admission.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

bool
IsBeyondAll(const AdmissionInput& aInput)
{
  return !aInput.insideShare && !aInput.insidePromise;
}

//! The part of its target within which a request must be foreseen.
double
LimitPart(const AdmissionInput& aInput)
{
  if (aInput.starved) {
    return kStarvedLimit;
  }
  if (aInput.insideShare) {
    return kInsideShareLimit;
  }
  if (aInput.insidePromise) {
    return kInsidePromiseLimit;
  }
  if (!aInput.othersWait) {
    return kOutsideShareLimit;
  }
  const double behind = 1.0 / std::max(aInput.excess, kExcessLeast);
  return kOutsideShareLimit * std::min(behind * behind, kBehindMost);
}

//! Large prompts are not refused for their size. One inside its share whose
//! reading alone takes longer than its target need only not wait long for
//! others; outside, only the wait for others counts.
double
LimitMs(const AdmissionInput& aInput, double aWithin)
{
  return IsBeyondAll(aInput) ? aWithin + aInput.ownMs
                             : std::max(aWithin, kOwnReading * aInput.ownMs);
}

//! aLeast: coming back sooner makes no sense.
Admission
Refuse(const AdmissionInput& aInput, Duration aLeast)
{
  const auto left = static_cast<double>(aInput.timeLeft.count());
  const auto wait = Duration(static_cast<std::int64_t>(aInput.foreseenMs));
  const auto most = Duration(static_cast<std::int64_t>(kRetryAfterPart * left));
  return { false,
           std::max(kRetryAfterLeast, std::min(std::max(wait, aLeast), most)) };
}

}

bool
ShedsWhileBusy(bool aOwed, Duration aRouterBusy, Duration aTarget)
{
  const auto busy = static_cast<double>(aRouterBusy.count());
  return !aOwed &&
         busy > kOutsideShareLimit * static_cast<double>(aTarget.count());
}

Admission
Admit(const AdmissionInput& aInput)
{
  if (IsBeyondAll(aInput) && !aInput.passesLevel && !aInput.idle) {
    return Refuse(aInput, kLevelWait);
  }
  if (!aInput.passesCallLevel && !aInput.idle) {
    return Refuse(aInput, kRetryAfterLeast);
  }
  const double part = LimitPart(aInput);
  const auto target = static_cast<double>(aInput.target.count());
  const auto waited = static_cast<double>(aInput.waited.count());
  const double limit = LimitMs(aInput, part * target) + aInput.unseenMs;
  const bool ahead =
    IsBeyondAll(aInput) && aInput.othersWait && aInput.excess > 1.0;
  if (aInput.foreseenMs + waited <= limit || (aInput.placesFree && !ahead)) {
    return {};
  }
  return Refuse(aInput, kRetryAfterLeast);
}

}
