#pragma once

#include "base/basetypes.h"

#include <algorithm>
#include <cstdint>

namespace hemlockgauge::gateway {

//! Converts a time to milliseconds as sent to other routers, where ages and
//! clock values are never negative: negative times become 0.
inline std::uint64_t
ToWireMillis(base::Duration aTime)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(aTime.count(), 0));
}

//! Converts milliseconds received from another router.
inline base::Duration
FromWireMillis(std::uint64_t aMillis)
{
  return base::Duration(static_cast<std::int64_t>(aMillis));
}

}
