#include "fleet/suitability.h"

#include "fleet/fleet.h"
#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

bool
IsRegionAllowed(const std::map<std::string, std::string>& aRegionOfZone,
                const std::string& aZone,
                const PlaceRequest& aRequest)
{
  const auto* routeRegions = &aRequest.route->allowedRegions;
  const auto* workspaceRegions = aRequest.workspaceRegions;
  const bool isRestricted =
    !routeRegions->empty() ||
    (workspaceRegions != nullptr && !workspaceRegions->empty());
  if (!isRestricted) {
    return true;
  }
  const auto region = aRegionOfZone.find(aZone);
  if (region == aRegionOfZone.end()) {
    return false;
  }
  const auto allows = [&](const std::vector<std::string>* aRegions) {
    return aRegions == nullptr || aRegions->empty() ||
           std::find(aRegions->begin(), aRegions->end(), region->second) !=
             aRegions->end();
  };
  return allows(routeRegions) && allows(workspaceRegions);
}

Duration
NoUpstreamRetryAfter(Suitability aSuitability, Duration aUntilEligible)
{
  switch (aSuitability) {
    case Suitability::Cold:
      return std::clamp(
        aUntilEligible, kMinRetryAfter, kMaxNoUpstreamRetryAfter);
    case Suitability::Paused:
    case Suitability::TooNew:
      return std::max(aUntilEligible, kMinRetryAfter);
    case Suitability::OtherRegion:
    case Suitability::Evacuated:
      return kMaxNoUpstreamRetryAfter;
    case Suitability::Unlisted:
    case Suitability::OtherVersion:
    case Suitability::Draining:
    case Suitability::Full:
    case Suitability::Tried:
    case Suitability::Fits:
      return kNoUpstreamRetryAfter;
  }
  return kNoUpstreamRetryAfter;
}

}
