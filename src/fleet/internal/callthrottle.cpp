#include "fleet/callthrottle.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

namespace {

//! Weight of a new sample in the mean utilisation.
constexpr double kUtilisationGain =
  static_cast<double>(kReportInterval.count()) /
  static_cast<double>(kRateTimeConstant.count());
//! Makes this draw independent of other hashes of the same key.
constexpr std::uint32_t kDrawSeed = 0x1e7e;

}

void
CallThrottle::Update(const std::map<ServiceId, ServiceSlots>& aPlaces,
                     const CallRates& aRates)
{
  std::erase_if(m_levels, [&](const auto& aEntry) {
    return !aPlaces.contains(aEntry.first);
  });
  for (const auto& [service, places] : aPlaces) {
    auto& level = m_levels[service];
    const double sample =
      static_cast<double>(places.used) / std::max(places.total, 1U);
    level.utilisation += kUtilisationGain * (sample - level.utilisation);
    const auto rate = aRates.find(service);
    level.admittedRatio = rate == aRates.end()
                            ? 1.0
                            : AdmittedRatio(rate->second, level.utilisation);
  }
}

bool
CallThrottle::Admits(ServiceId aService, std::uint64_t aKey) const
{
  const auto found = m_levels.find(aService);
  if (found == m_levels.end()) {
    return true;
  }
  constexpr auto kMaxDraw =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto key = static_cast<std::uint32_t>(aKey);
  const auto draw = static_cast<double>(base::HashPair(key, kDrawSeed));
  return draw <= found->second.admittedRatio * kMaxDraw;
}

}
