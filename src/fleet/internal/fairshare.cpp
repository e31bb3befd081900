#include "fleet/fairshare.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace hemlockgauge::fleet {

namespace {

constexpr double kTimeConstantMs =
  static_cast<double>(kRateTimeConstant.count());
constexpr double kMillisPerSecond = 1000.0;
//! Rates below this are negligible, in tokens per second.
constexpr double kMinRate = 1.0;

}

double
MaxMinShare(const WorkspaceRates& aRates, double aCapacity)
{
  std::vector<double> demands;
  demands.reserve(aRates.size());
  for (const auto& [workspace, rate] : aRates) {
    demands.push_back(rate.demand);
  }
  std::sort(demands.begin(), demands.end());
  double remaining = aCapacity;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double share = remaining / static_cast<double>(demands.size() - i);
    if (demands[i] > share) {
      return share;
    }
    remaining -= demands[i];
  }
  return std::numeric_limits<double>::infinity();
}

void
DemandMeter::Decay(TimePoint aNow)
{
  const auto elapsedMs = static_cast<double>((aNow - m_decayedAt).count());
  if (elapsedMs <= 0) {
    return;
  }
  m_decayedAt = aNow;
  const double factor = std::exp(-elapsedMs / kTimeConstantMs);
  m_prefillRate *= factor;
  for (auto& [workspace, rate] : m_rates) {
    rate.demand *= factor;
    rate.admitted *= factor;
  }
}

void
DemandMeter::AddDemand(WorkspaceId aWorkspace, double aCost, TimePoint aNow)
{
  Decay(aNow);
  m_rates[aWorkspace].demand += aCost * kMillisPerSecond / kTimeConstantMs;
}

void
DemandMeter::AddAdmitted(WorkspaceId aWorkspace,
                         double aCost,
                         double aPrefillTokens,
                         TimePoint aNow)
{
  Decay(aNow);
  m_rates[aWorkspace].admitted += aCost * kMillisPerSecond / kTimeConstantMs;
  m_prefillRate += aPrefillTokens * kMillisPerSecond / kTimeConstantMs;
}

void
DemandMeter::RemoveAdmitted(WorkspaceId aWorkspace,
                            double aCost,
                            double aPrefillTokens,
                            Duration aAge,
                            TimePoint aNow)
{
  Decay(aNow);
  const double factor =
    std::exp(-static_cast<double>(aAge.count()) / kTimeConstantMs) *
    kMillisPerSecond / kTimeConstantMs;
  auto& rate = m_rates[aWorkspace];
  rate.admitted = std::max(0.0, rate.admitted - aCost * factor);
  m_prefillRate = std::max(0.0, m_prefillRate - aPrefillTokens * factor);
}

const WorkspaceRates&
DemandMeter::Rates(TimePoint aNow)
{
  Decay(aNow);
  std::erase_if(m_rates, [](const auto& aEntry) {
    return aEntry.second.demand < kMinRate && aEntry.second.admitted < kMinRate;
  });
  return m_rates;
}

}
