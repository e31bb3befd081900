#pragma once

#include "base/basetypes.h"

#include <cstddef>

namespace hemlockgauge::base {

//! Size limits of a caller's request and timeouts of its connection.
struct CallerLimits
{
  std::size_t maxHeadBytes = 16384;
  std::size_t maxBodyBytes = 4194304;
  Duration headTimeout{ 3000 };
  Duration idleTimeout{ 15000 };
};

}
