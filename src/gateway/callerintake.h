#pragma once

#include <cstdint>

namespace hemlockgauge::gateway {

//! What callers brought to this router within some time.
struct CallerIntake
{
  std::uint64_t accepted = 0; //!< connections
  std::uint64_t read = 0;     //!< requests
  std::uint64_t refused = 0;  //!< requests that were not placed
};

}
