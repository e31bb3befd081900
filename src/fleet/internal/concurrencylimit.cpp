#include "fleet/concurrencylimit.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

double
ConcurrencyLimit::At(TimePoint aNow) const
{
  const auto grownFor = std::max(aNow - m_growsFrom, Duration{});
  const double pauses = static_cast<double>(grownFor.count()) /
                        static_cast<double>(m_pause.count());
  return m_limit * (1 + kConcurrencyGrowthRatio * pauses);
}

void
ConcurrencyLimit::Refused(std::uint32_t aRunning,
                          std::uint32_t aSlots,
                          Duration aPause,
                          TimePoint aNow)
{
  const double running = aRunning;
  const double reached = IsSet() ? std::min(running, At(aNow)) : running;
  const double least = aRunning > aSlots ? aSlots : 1.0;
  m_limit = std::max(least, kConcurrencyCutRatio * reached);
  m_pause = std::max(aPause, kReportInterval);
  m_growsFrom = aNow + aPause;
}

bool
ConcurrencyLimit::Allows(std::uint32_t aRunning, TimePoint aNow) const
{
  return !IsSet() || aRunning + 1 <= At(aNow);
}

}
