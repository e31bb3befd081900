#pragma once

#include <cstdint>

namespace hemlockgauge::gateway {

//! Counters of what this router received from callers in an interval.
struct CallerIntake
{
  std::uint64_t accepted = 0; //!< accepted connections
  std::uint64_t read = 0;     //!< requests read completely
  std::uint64_t refused = 0;  //!< requests for which no upstream was chosen
};

}
