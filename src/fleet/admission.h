#pragma once

#include "base/enumnames.h"
#include "fleet/fleettypes.h"

namespace hemlockgauge::fleet {

//! The inputs of the admission decision for a request for which a suitable
//! upstream was found.
struct AdmissionInput
{
  double predictedMs = 0; //!< time to its first token or its answer
  double ownPrefillMs =
    0;                 //!< part of predictedMs: prefill of its unshared tokens
  double unseenMs = 0; //!< mean wait from load not reported yet, see UnseenLoad
  Duration waited{};   //!< since the request arrived
  Duration target{};   //!< its route's target latency, from arrival
  Duration timeLeft{}; //!< until its deadline or the route's timeout
  bool insideShare = true; //!< its workspace is within its fair share
  //! The workspace is above its share of what the engines can process, but
  //! within its share of the nominal capacity,
  //! FleetConfig::nominalTokensPerSecond.
  bool insideNominalShare = false;
  //! Others wait, and the workspace gets less than the fraction kStarvedRatio
  //! of what it asks for and of what the best served workspace gets.
  bool starved = false;
  //! The workspace's current rate divided by the highest rate of any workspace
  //! if the load served now were split by max-min fair share. Above 1, the
  //! workspace is ahead of others.
  double excess = 1;
  //! Some workspaces that are not ahead get less than they ask for.
  bool othersWait = true;
  bool hasFreeSlots = false; //!< the upstream has free slots and no backlog
  bool passesThrottle =
    true; //!< passes its workspace's rate limit, see WorkspaceThrottle
  bool passesCallThrottle = true; //!< passes its plain service's rate limit
  bool upstreamIdle = false;      //!< no request runs at the upstream
};

//! The admission decision.
struct Admission
{
  bool admitted = true;
  Duration retryAfter{}; //!< for the caller of a refused request
};

//! Whether an overloaded router sheds a request without evaluating upstreams.
//! When requests arrive faster than the router can read them, they wait unread
//! for up to aRouterBusy, the time for which the router's event loop has not
//! been idle. A request beyond its workspace's nominal share is shed if that
//! wait alone takes too much of aTarget, the route's target latency.
bool
ShedsWhileBusy(bool aInsideNominalShare,
               Duration aRouterBusy,
               Duration aTarget);

//! Admits a request if its predicted latency is within a fraction of its target
//! latency, and refuses it with a retry time otherwise. Engines process
//! requests in order of arrival without priorities, so a request that is
//! admitted too late delays all requests behind it; one that is refused at once
//! can be retried.
//!
//! Requests beyond their workspace's share have the smallest fraction, so a
//! flooding workspace delays only itself. Among these, the fraction shrinks the
//! further a workspace is ahead of others, so that several flooding workspaces
//! are served alike. If the nominal capacity exceeds what the engines can
//! process, requests within the nominal share only are refused slightly earlier
//! than those within the share, which leaves room for the latter. Requests of a
//! starved workspace may exceed the target: a late answer is better than none.
Admission
Admit(const AdmissionInput& aInput);

}
