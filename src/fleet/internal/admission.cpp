#include "fleet/admission.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

bool
IsBeyondNominalShare(const AdmissionInput& aInput)
{
  return !aInput.insideShare && !aInput.insideNominalShare;
}

//! The fraction of the target latency that the predicted latency of a request
//! may take.
double
LatencyLimitRatio(const AdmissionInput& aInput)
{
  if (aInput.starved) {
    return kStarvedTargetRatio;
  }
  if (aInput.insideShare) {
    return kInsideShareTargetRatio;
  }
  if (aInput.insideNominalShare) {
    return kInsideNominalShareTargetRatio;
  }
  if (!aInput.othersWait) {
    return kOutsideShareTargetRatio;
  }
  const double inverseExcess = 1.0 / std::max(aInput.excess, kMinExcess);
  return kOutsideShareTargetRatio *
         std::min(inverseExcess * inverseExcess, kMaxBehindFactor);
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
           ? aLimitMs + aInput.ownPrefillMs
           : std::max(aLimitMs, kOwnPrefillFactor * aInput.ownPrefillMs);
}

//! Refuses with a retry time of the predicted latency, but at least aMinWait
//! and at most a fraction of the time that the caller has left.
Admission
Refuse(const AdmissionInput& aInput, Duration aMinWait)
{
  const auto timeLeftMs = static_cast<double>(aInput.timeLeft.count());
  const auto wait = Duration(static_cast<std::int64_t>(aInput.predictedMs));
  const auto maxWait =
    Duration(static_cast<std::int64_t>(kMaxRetryAfterRatio * timeLeftMs));
  return {
    false, std::max(kMinRetryAfter, std::min(std::max(wait, aMinWait), maxWait))
  };
}

}

bool
ShedsWhileBusy(bool aInsideNominalShare, Duration aRouterBusy, Duration aTarget)
{
  const auto busy = static_cast<double>(aRouterBusy.count());
  return !aInsideNominalShare &&
         busy > kOutsideShareTargetRatio * static_cast<double>(aTarget.count());
}

Admission
Admit(const AdmissionInput& aInput)
{
  if (IsBeyondNominalShare(aInput) && !aInput.passesThrottle &&
      !aInput.upstreamIdle) {
    return Refuse(aInput, kThrottleRetryAfter);
  }
  if (!aInput.passesCallThrottle && !aInput.upstreamIdle) {
    return Refuse(aInput, kMinRetryAfter);
  }
  const double ratio = LatencyLimitRatio(aInput);
  const auto target = static_cast<double>(aInput.target.count());
  const auto waited = static_cast<double>(aInput.waited.count());
  const double limit = MaxLatencyMs(aInput, ratio * target) + aInput.unseenMs;
  const bool ahead =
    IsBeyondNominalShare(aInput) && aInput.othersWait && aInput.excess > 1.0;
  if (aInput.predictedMs + waited <= limit || (aInput.hasFreeSlots && !ahead)) {
    return {};
  }
  return Refuse(aInput, kMinRetryAfter);
}

}
