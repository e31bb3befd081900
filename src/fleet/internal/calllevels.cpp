#include "fleet/calllevels.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

namespace {

//! Weight of a new sample in the mean utilisation.
constexpr double kUtilisationGain = static_cast<double>(kReportPeriod.count()) /
                                    static_cast<double>(kShareMemory.count());
//! Makes this draw independent of other hashes of the same key.
constexpr std::uint32_t kDrawSeed = 0x1e7e;

}

void
CallLevels::Update(const std::map<ServiceId, ServicePlaces>& aPlaces,
                   const CallRates& aRates)
{
  std::erase_if(m_levels, [&](const auto& aEntry) {
    return !aPlaces.contains(aEntry.first);
  });
  for (const auto& [service, places] : aPlaces) {
    auto& level = m_levels[service];
    const double sample =
      static_cast<double>(places.taken) / std::max(places.all, 1U);
    level.utilisation += kUtilisationGain * (sample - level.utilisation);
    const auto rate = aRates.find(service);
    level.admittedRatio =
      rate == aRates.end() ? 1.0 : PassingPart(rate->second, level.utilisation);
  }
}

bool
CallLevels::Passes(ServiceId aService, std::uint64_t aKey) const
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
