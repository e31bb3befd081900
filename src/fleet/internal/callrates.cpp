#include "fleet/callrates.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::fleet {

namespace {

constexpr double kTimeConstantMs = static_cast<double>(kShareMemory.count());
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
    rate.asked *= factor;
    rate.answered *= factor;
  }
}

void
CallMeter::Asked(ServiceId aService, TimePoint aNow)
{
  Decay(aNow);
  m_rates[aService].asked += kMillisPerSecond / kTimeConstantMs;
}

void
CallMeter::Answered(ServiceId aService, TimePoint aNow)
{
  Decay(aNow);
  m_rates[aService].answered += kMillisPerSecond / kTimeConstantMs;
}

const CallRates&
CallMeter::Rates(TimePoint aNow)
{
  Decay(aNow);
  std::erase_if(m_rates, [](const auto& aEntry) {
    return aEntry.second.asked < kMinRate && aEntry.second.answered < kMinRate;
  });
  return m_rates;
}

double
PassingPart(const CallRate& aRate, double aUtilisation)
{
  if (aUtilisation < kCallsBusy) {
    return 1.0;
  }
  const double targetRate = kCallsUse * aRate.answered;
  const double utilisedDemand = aUtilisation * aRate.asked;
  return targetRate >= utilisedDemand ? 1.0 : targetRate / utilisedDemand;
}

}
