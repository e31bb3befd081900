#pragma once

#include "fleet/fleet.h"

namespace hemlockgauge::fleet {

//! Load of a plain service that is called through many routers.
struct PlainLoad
{
  int routers = 40;
  int upstreams = 8;
  std::uint32_t slots = 6;
  std::size_t maxQueued = 24; //!< calls that wait for a slot; more are refused
  //! Mean time that an upstream runs a call, in ms.
  double meanServiceMs = 60;
  double callsPerSecond = 730; //!< calls of all callers per second
  Duration target{ 300 };
  //! Retry-After of an upstream's refusals; 0: none.
  Duration retryAfter{};
  //! Refused callers come back once after the router's Retry-After, to any
  //! router, unless it exceeds this time; 0: they don't.
  Duration patience{};
  Duration reportDelay{ 250 }; //!< of reports, on their way through hubs
  Duration length{ 20000 };
  Duration warmUp{ 4000 }; //!< calls before this are not counted
};

struct PlainResult
{
  int calls = 0;
  int refusedByRouter = 0;
  int refusedByUpstream = 0;
  int inTime = 0;
  int late = 0;
  //! Calls that reached an upstream from a router within the Retry-After that
  //! the upstream had given to that router.
  int withinPauses = 0;

  //! Ratio of a number of calls to all calls.
  double RatioOf(int aCalls) const
  {
    return static_cast<double>(aCalls) / calls;
  }
};

//! Runs the load against real Fleet objects in virtual time. Routers do not
//! retry refused calls.
PlainResult
SimulatePlainLoad(const PlainLoad& aLoad, std::uint32_t aSeed);

}
