#include "fleet/fairshare.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace hemlockgauge::fleet {

namespace {

constexpr double kMemoryMs = static_cast<double>(kShareMemory.count());
constexpr double kMillis = 1000.0;
//! Rates under this are as good as none, in tokens a second.
constexpr double kFaded = 1.0;

}

double
MaxMinLevel(const WorkspaceRates& aRates, double aCapacity)
{
  std::vector<double> asked;
  asked.reserve(aRates.size());
  for (const auto& [workspace, rate] : aRates) {
    asked.push_back(rate.asked);
  }
  std::sort(asked.begin(), asked.end());
  double left = aCapacity;
  for (std::size_t i = 0; i < asked.size(); ++i) {
    const double part = left / static_cast<double>(asked.size() - i);
    if (asked[i] > part) {
      return part;
    }
    left -= asked[i];
  }
  return std::numeric_limits<double>::infinity();
}

void
DemandMeter::Decay(TimePoint aNow)
{
  const auto past = static_cast<double>((aNow - m_decayedAt).count());
  if (past <= 0) {
    return;
  }
  m_decayedAt = aNow;
  const double factor = std::exp(-past / kMemoryMs);
  m_reading *= factor;
  for (auto& [workspace, rate] : m_rates) {
    rate.asked *= factor;
    rate.begun *= factor;
  }
}

void
DemandMeter::Asked(WorkspaceId aWorkspace, double aCost, TimePoint aNow)
{
  Decay(aNow);
  m_rates[aWorkspace].asked += aCost * kMillis / kMemoryMs;
}

void
DemandMeter::Begun(WorkspaceId aWorkspace,
                   double aCost,
                   double aUnread,
                   TimePoint aNow)
{
  Decay(aNow);
  m_rates[aWorkspace].begun += aCost * kMillis / kMemoryMs;
  m_reading += aUnread * kMillis / kMemoryMs;
}

const WorkspaceRates&
DemandMeter::Rates(TimePoint aNow)
{
  Decay(aNow);
  std::erase_if(m_rates, [](const auto& aEntry) {
    return aEntry.second.asked < kFaded && aEntry.second.begun < kFaded;
  });
  return m_rates;
}

}
