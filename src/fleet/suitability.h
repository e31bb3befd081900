#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

using base::Duration;

struct PlaceRequest;

//! Whether an upstream may get a request, or what keeps it from that; the
//! nearer to getting it, the later here.
enum class Suitability : std::uint8_t
{
  Unlisted,    //!< not of the request's service
  OtherRegion, //!< the request may not run there
  Draining,
  Evacuated, //!< its availability zone is
  Cold,      //!< gets no more for now, see WarmUp
  Tried,     //!< by the same request
  Fits
};
inline constexpr auto kSuitabilityNames =
  base::MakeEnumNames<Suitability>("unlisted",
                                   "other-region",
                                   "draining",
                                   "evacuated",
                                   "cold",
                                   "tried",
                                   "fits");

//! Whether an upstream may be asked for what it holds. One that only the
//! request at hand may not go to again still gives.
inline bool
IsWorkable(Suitability aSuitability)
{
  return aSuitability == Suitability::Fits ||
         aSuitability == Suitability::Tried ||
         aSuitability == Suitability::Cold;
}

//! Whether the regions of the request's route and workspace allow a zone;
//! where both name some, both bind. A zone of no known region is in none.
bool
MayRunIn(const std::map<std::string, std::string>& aRegionOfZone,
         const std::string& aZone,
         const PlaceRequest& aRequest);

//! When a request should come back for which there is no upstream.
//! aUntilWarm: until the first cold one is warm.
Duration
RetryAfterFor(Suitability aSuitability, Duration aUntilWarm);

}
