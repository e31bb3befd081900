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

//! Whether an upstream may get a request, or why not. The reasons are ordered:
//! later ones are closer to Fits. If no upstream fits, the greatest value over
//! all upstreams is reported.
enum class Suitability : std::uint8_t
{
  Unlisted,     //!< not an upstream of the request's service
  OtherRegion,  //!< the request may not run in its region
  OtherVersion, //!< can't go on with the request's stream
  Draining,     //!< takes no new requests
  Evacuated,    //!< its availability zone is evacuated
  Cold,         //!< gets no request from this router now, see WarmUp
  Paused,       //!< wants no requests from this router for a time
  Full,         //!< has as many requests as it takes, see ConcurrencyLimit
  Tried,        //!< already tried for the same request
  TooNew,       //!< streams don't begin at its version yet, see VersionHistory
  Fits
};
inline constexpr auto kSuitabilityNames =
  base::MakeEnumNames<Suitability>("unlisted",
                                   "other-region",
                                   "other-version",
                                   "draining",
                                   "evacuated",
                                   "cold",
                                   "paused",
                                   "full",
                                   "tried",
                                   "too-new",
                                   "fits");

//! Whether other upstreams may copy prefixes from this one. This includes one
//! that gets no requests now because it is cold, full, too new or was already
//! tried, but not one that is paused, as a copy is work for its source.
inline bool
CanProvideCopies(Suitability aSuitability)
{
  return aSuitability == Suitability::Fits ||
         aSuitability == Suitability::Tried ||
         aSuitability == Suitability::TooNew ||
         aSuitability == Suitability::Full || aSuitability == Suitability::Cold;
}

//! Whether a request may run in a zone, by the allowed regions of its route and
//! of its workspace. If both are restricted, both must allow the zone's region.
//! A zone without a known region is allowed only for unrestricted requests.
bool
IsRegionAllowed(const std::map<std::string, std::string>& aRegionOfZone,
                const std::string& aZone,
                const PlaceRequest& aRequest);

//! Returns when a request that found no upstream should be retried.
//! aSuitability: the greatest over all upstreams; aUntilEligible: time until
//! the first cold, paused or too new upstream is none of these.
Duration
NoUpstreamRetryAfter(Suitability aSuitability, Duration aUntilEligible);

}
