#include "fleet/suitability.h"

#include "fleet/fleet.h"
#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

bool
MayRunIn(const std::map<std::string, std::string>& aRegionOfZone,
         const std::string& aZone,
         const PlaceRequest& aRequest)
{
  const auto* ofRoute = &aRequest.route->allowedRegions;
  const auto* ofWorkspace = aRequest.workspaceRegions;
  const bool isBound =
    !ofRoute->empty() || (ofWorkspace != nullptr && !ofWorkspace->empty());
  if (!isBound) {
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
  return allows(ofRoute) && allows(ofWorkspace);
}

Duration
RetryAfterFor(Suitability aSuitability, Duration aUntilWarm)
{
  switch (aSuitability) {
    case Suitability::Cold:
      return std::clamp(aUntilWarm, kRetryAfterLeast, kNoUpstreamWaitMost);
    case Suitability::OtherRegion:
    case Suitability::Evacuated:
      return kNoUpstreamWaitMost;
    case Suitability::Unlisted:
    case Suitability::Draining:
    case Suitability::Tried:
    case Suitability::Fits:
      return kNoUpstreamWait;
  }
  return kNoUpstreamWait;
}

}
