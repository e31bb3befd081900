#include "fleet/callrates.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::fleet {

namespace {

constexpr double kTimeConstantMs =
  static_cast<double>(kRateTimeConstant.count());
constexpr double kMillisPerSecond = 1000.0;
//! Rates below this are negligible, in calls per second.
constexpr double kMinRate = 0.001;

}

void
CallMeter::Decay(TimePoint aNow)
{
  const auto elapsedMs = static_cast<double>((aNow - m_decayedAt).count());
  if (elapsedMs <= 0) {
    return;
  }
  m_decayedAt = aNow;
  const double factor = std::exp(-elapsedMs / kTimeConstantMs);
  for (auto& [service, rate] : m_rates) {
    rate.demand *= factor;
    rate.answered *= factor;
  }
}

void
CallMeter::AddCall(ServiceId aService, TimePoint aNow)
{
  Decay(aNow);
  m_rates[aService].demand += kMillisPerSecond / kTimeConstantMs;
}

void
CallMeter::AddAnswer(ServiceId aService, TimePoint aNow)
{
  Decay(aNow);
  m_rates[aService].answered += kMillisPerSecond / kTimeConstantMs;
}

const CallRates&
CallMeter::Rates(TimePoint aNow)
{
  Decay(aNow);
  std::erase_if(m_rates, [](const auto& aEntry) {
    return aEntry.second.demand < kMinRate && aEntry.second.answered < kMinRate;
  });
  return m_rates;
}

double
AdmittedRatio(const CallRate& aRate, double aUtilisation)
{
  if (aUtilisation < kCallThrottleUtilisation) {
    return 1.0;
  }
  const double targetRate = kMaxCallUtilisation * aRate.answered;
  const double utilisedDemand = aUtilisation * aRate.demand;
  return targetRate >= utilisedDemand ? 1.0 : targetRate / utilisedDemand;
}

}
