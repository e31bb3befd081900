#pragma once

#include "fleet/concurrencylimit.h"
#include "fleet/firsttokentime.h"
#include "fleet/fleetconstants.h"
#include "fleet/fleettypes.h"
#include "fleet/prefillqueue.h"
#include "fleet/prefillrate.h"
#include "fleet/servicetime.h"
#include "fleet/streamtypes.h"
#include "fleet/upstreamhealth.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlockgauge::fleet {

//! What the upstreams that accept new requests can do together.
struct UpstreamCapacity
{
  std::size_t upstreams = 0;
  std::uint64_t slots = 0;
  double prefillTokensPerMs = 0; //!< learned speeds; 0 for plain services
};

//! A service's upstreams, which are all engines or all plain.
struct ServiceUpstreams
{
  bool isEngine = false;
  //! Requests per second that one of them tolerates while it is cold, from all
  //! routers together; 0: they don't become cold.
  double coldRequestsPerSecond = 0;
  std::vector<UpstreamId> ids; //!< sorted
  std::size_t evacuated = 0;   //!< of them, those in evacuated zones
  //! Of them, those that wanted no requests from this router at the last Tick.
  std::size_t paused = 0;
  UpstreamCapacity capacity;
  FirstTokenTime firstToken; //!< of its engines
  //! The settings changed since the capacity was counted.
  bool isCapacityStale = false;

  //! Whether so many upstreams are paused that the rest must not be filled up,
  //! or all would be paused soon.
  bool IsMostlyPaused() const
  {
    return static_cast<double>(paused) >=
           kMostlyPausedRatio * static_cast<double>(ids.size());
  }
};

//! One incarnation of an upstream: its entry and what this router has learned
//! about it.
struct Upstream
{
  UpstreamEntryPtr entry;
  VersionId version = VersionId::Unknown; //!< of entry
  ServiceUpstreams* service = nullptr;
  bool evacuated = false; //!< its availability zone is evacuated
  bool leaving = false;   //!< it stated so in an answer
  TimePoint coldUntil{ TimePoint::min() / 2 };
  //! Until then it wants no requests from this router.
  TimePoint pausedUntil{ TimePoint::min() / 2 };
  ConcurrencyLimit concurrencyLimit;
  //! Follows slowly; bounds what is admitted over the fleet.
  PrefillRate prefillRate;
  EngineSlowness slowness;
  UpstreamServiceTime serviceTime;
  UpstreamHealth health;
  PrefillQueue prefills;     //!< of requests from this router
  std::uint32_t running = 0; //!< requests from this router
  //! Its part of its service's capacity; empty if it accepts no requests.
  UpstreamCapacity counted;

  //! Predicted prefill speed, in tokens per ms.
  double TokensPerMs() const
  {
    const auto& time = service->firstToken;
    return time.HasNotableFixedTime() ? time.TokensPerMs() / slowness.Factor()
                                      : prefillRate.TokensPerMs();
  }
  //! Predicted time of a first token besides prefill, in ms.
  double FixedFirstTokenMs() const
  {
    const auto& time = service->firstToken;
    return time.HasNotableFixedTime() ? time.FixedMs() * slowness.Factor()
                                      : kFirstTokenOverheadMs;
  }
  bool IsEngine() const { return service->isEngine; }
  bool IsCold(TimePoint aNow) const
  {
    return service->coldRequestsPerSecond > 0 && aNow < coldUntil;
  }
  bool IsLeaving() const { return entry->draining || leaving; }
  bool IsPaused(TimePoint aNow) const { return aNow < pausedUntil; }
  //! Whether it may get any new requests, of this router or of others.
  bool AcceptsWork(TimePoint aNow) const
  {
    return !IsLeaving() && !evacuated && !IsCold(aNow);
  }
};

}
