#pragma once

#include <cstdint>

namespace hemlockgauge::fleet {

//! The load that an upstream states in a response. It includes requests from
//! all routers and from other callers.
struct StatedLoad
{
  std::uint32_t running = 0; //!< requests in a slot
  std::uint32_t waiting = 0; //!< requests in the upstream's own queue
  std::uint32_t slots = 0;
  //! How long work currently takes on the upstream's host, relative to the
  //! usual time; 1: as usual or not stated.
  double slowdown = 1;
};

}
