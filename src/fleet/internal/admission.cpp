#include "fleet/admission.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

bool
IsBeyondNominalShare(const AdmissionInput& aInput)
{
  return !aInput.insideShare && !aInput.insidePromise;
}

//! The fraction of the target latency that the predicted latency of a request
//! may take.
double
LatencyLimitRatio(const AdmissionInput& aInput)
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
  const double inverseExcess = 1.0 / std::max(aInput.excess, kExcessLeast);
  return kOutsideShareLimit *
         std::min(inverseExcess * inverseExcess, kBehindMost);
}

//! The highest predicted latency, in ms, at which a request is admitted.
//! aLimitMs: the part of its target latency that it may take, in ms.
//! Large prompts are not refused for their size: within its workspace's share,
//! a request whose own prefill takes longer than its target is admitted if the
//! wait for others is short; beyond it, only the wait for others counts.
double
MaxLatencyMs(const AdmissionInput& aInput, double aLimitMs)
{
  return IsBeyondNominalShare(aInput)
           ? aLimitMs + aInput.ownMs
           : std::max(aLimitMs, kOwnReading * aInput.ownMs);
}

//! Refuses with a retry time of the predicted latency, but at least aMinWait
//! and at most a fraction of the time that the caller has left.
Admission
Refuse(const AdmissionInput& aInput, Duration aMinWait)
{
  const auto timeLeftMs = static_cast<double>(aInput.timeLeft.count());
  const auto wait = Duration(static_cast<std::int64_t>(aInput.foreseenMs));
  const auto maxWait =
    Duration(static_cast<std::int64_t>(kRetryAfterPart * timeLeftMs));
  return { false,
           std::max(kRetryAfterLeast,
                    std::min(std::max(wait, aMinWait), maxWait)) };
}

}

bool
ShedsWhileBusy(bool aInsideNominalShare, Duration aRouterBusy, Duration aTarget)
{
  const auto busy = static_cast<double>(aRouterBusy.count());
  return !aInsideNominalShare &&
         busy > kOutsideShareLimit * static_cast<double>(aTarget.count());
}

Admission
Admit(const AdmissionInput& aInput)
{
  if (IsBeyondNominalShare(aInput) && !aInput.passesLevel && !aInput.idle) {
    return Refuse(aInput, kLevelWait);
  }
  if (!aInput.passesCallLevel && !aInput.idle) {
    return Refuse(aInput, kRetryAfterLeast);
  }
  const double ratio = LatencyLimitRatio(aInput);
  const auto target = static_cast<double>(aInput.target.count());
  const auto waited = static_cast<double>(aInput.waited.count());
  const double limit = MaxLatencyMs(aInput, ratio * target) + aInput.unseenMs;
  const bool ahead =
    IsBeyondNominalShare(aInput) && aInput.othersWait && aInput.excess > 1.0;
  if (aInput.foreseenMs + waited <= limit || (aInput.placesFree && !ahead)) {
    return {};
  }
  return Refuse(aInput, kRetryAfterLeast);
}

}
