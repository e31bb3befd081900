#include "fleet/callrates.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::fleet {

namespace {

constexpr double kMemoryMs = static_cast<double>(kShareMemory.count());
constexpr double kMillis = 1000.0;
//! Rates under this are as good as none, in calls a second.
constexpr double kFaded = 0.001;

}

void
CallMeter::Decay(TimePoint aNow)
{
  const auto past = static_cast<double>((aNow - m_decayedAt).count());
  if (past <= 0) {
    return;
  }
  m_decayedAt = aNow;
  const double factor = std::exp(-past / kMemoryMs);
  for (auto& [service, rate] : m_rates) {
    rate.asked *= factor;
    rate.answered *= factor;
  }
}

void
CallMeter::Asked(ServiceId aService, TimePoint aNow)
{
  Decay(aNow);
  m_rates[aService].asked += kMillis / kMemoryMs;
}

void
CallMeter::Answered(ServiceId aService, TimePoint aNow)
{
  Decay(aNow);
  m_rates[aService].answered += kMillis / kMemoryMs;
}

const CallRates&
CallMeter::Rates(TimePoint aNow)
{
  Decay(aNow);
  std::erase_if(m_rates, [](const auto& aEntry) {
    return aEntry.second.asked < kFaded && aEntry.second.answered < kFaded;
  });
  return m_rates;
}

double
PassingPart(const CallRate& aRate, double aUtilisation)
{
  if (aUtilisation < kCallsBusy) {
    return 1.0;
  }
  const double possible = kCallsUse * aRate.answered;
  const double needed = aUtilisation * aRate.asked;
  return possible >= needed ? 1.0 : possible / needed;
}

}
