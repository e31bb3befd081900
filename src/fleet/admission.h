#pragma once

#include "base/enumnames.h"
#include "fleet/fleettypes.h"

namespace hemlockgauge::fleet {

//! What decides whether a request that could be placed is taken.
struct AdmissionInput
{
  double foreseenMs = 0; //!< to its first token or its answer
  double ownMs = 0;      //!< of that, what reading its own part takes
  double unseenMs = 0;   //!< see UnseenLoad: what news is too old to tell
  Duration waited{};     //!< since it arrived
  Duration target{};     //!< of its route, from its arrival
  Duration timeLeft{};   //!< until its deadline or its route's timeout
  bool insideShare = true;
  //! Beyond its part of what the engines can read, but not of what is
  //! promised to all workspaces together.
  bool insidePromise = false;
  //! Its workspace gets far under half of what it asks and others get.
  bool starved = false;
  //! What its workspace gets against the most that any would get if all
  //! that is served now were split by max-min: over 1, others are behind.
  double excess = 1;
  //! Workspaces that are not ahead do not get what they ask.
  bool othersWait = true;
  bool placesFree = false;     //!< its upstream has free slots and no backlog
  bool passesLevel = true;     //!< see PassLevel
  bool passesCallLevel = true; //!< see PassingPart
  bool idle = false;           //!< nothing runs at its upstream
};

struct Admission
{
  bool taken = true;
  Duration retryAfter{};
};

//! Answers a flood on one router that is slower than the flood: what it takes
//! waits unseen before it is read, at most for as long as the router has not
//! rested. What is not owed is refused then without a look at the upstreams.
bool
ShedsWhileBusy(bool aOwed, Duration aRouterBusy, Duration aTarget);

//! Answers overload: more is asked than can be read in time. Engines admit
//! in the order of arrival and know no priorities, so a request that is
//! taken too late makes all behind it late. Refused at once, it can come
//! back; taken, it would cost its own time and that of the others. Those
//! beyond their workspace's share go first, so a flooding workspace delays
//! only itself; among these, the more a workspace gets beyond what others
//! get, the sooner it is refused, so that several floods are served alike.
//! Where more is promised than can be read, what is inside the promise alone
//! goes a little sooner than what is inside the share, so that this finds room;
//! who is starved waits longer, rather late than not at all.
Admission
Admit(const AdmissionInput& aInput);

}
