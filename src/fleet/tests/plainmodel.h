#pragma once

#include "fleet/fleet.h"

namespace hemlockgauge::fleet {

//! Calls of a plain service by many routers.
struct PlainLoad
{
  int routers = 40;
  int upstreams = 8;
  std::uint32_t slots = 6;
  std::size_t queue = 24; //!< a call that finds it full is refused
  double serviceMs = 60;
  double perSecond = 730; //!< calls of all callers
  Duration target{ 300 };
  Duration newsDelay{ 250 }; //!< of reports, on their way through hubs
  Duration length{ 20000 };
  Duration warmUp{ 4000 }; //!< what is asked before this is not counted
};

struct PlainResult
{
  int asked = 0;
  int refusedByRouter = 0;
  int refusedByUpstream = 0;
  int inTime = 0;
  int late = 0;

  double PartOf(int aCalls) const
  {
    return static_cast<double>(aCalls) / asked;
  }
};

//! Plays the load against real Fleet objects, in virtual time. A refused call
//! does not come back.
PlainResult
PlayPlain(const PlainLoad& aLoad, std::uint32_t aSeed);

}
