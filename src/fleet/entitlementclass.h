#pragma once

#include "base/enumnames.h"

#include <cstdint>

namespace hemlockgauge::fleet {

//! What a request's workspace is entitled to, in order of precedence.
enum class EntitlementClass : std::uint8_t
{
  Entitled, //!< within its fair share, see PlaceResult::IsEntitled
  Nominal,  //!< only within its share of the nominal capacity
  Beyond    //!< beyond both
};
inline constexpr auto kEntitlementClassNames =
  base::MakeEnumNames<EntitlementClass>("entitled", "nominal", "beyond");

}
