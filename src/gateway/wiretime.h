#pragma once

#include "base/basetypes.h"

#include <algorithm>
#include <cstdint>

namespace hemlockgauge::gateway {

//! Ages and clock values are never negative between routers.
inline std::uint64_t
Unsigned(base::Duration aTime)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(aTime.count(), 0));
}

inline base::Duration
Signed(std::uint64_t aMillis)
{
  return base::Duration(static_cast<std::int64_t>(aMillis));
}

}
