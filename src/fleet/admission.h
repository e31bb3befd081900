#pragma once

#include "base/enumnames.h"
#include "fleet/fleettypes.h"

namespace hemlockgauge::fleet {

//! What decides whether a request that could be placed is taken.
struct AdmissionInput
{
  double foreseenMs = 0; //!< to its first token or its answer
  double ownMs = 0;      //!< of that, what reading its own part takes
  Duration waited{};     //!< since it arrived
  Duration target{};     //!< of its route, from its arrival
  Duration timeLeft{};   //!< until its deadline or its route's timeout
  bool passesLevel = true; //!< its workspace is below the level
  bool placesFree = false; //!< its upstream has free slots and no backlog
};

struct Admission
{
  bool taken = true;
  Duration retryAfter{};
};

//! Answers overload: more is asked than can be read in time. Engines admit
//! in the order of arrival and know no priorities, so a request that is
//! taken too late makes all behind it late. Refused at once, it can come
//! back; taken, it would cost its own time and that of the others. What is
//! beyond the level goes first (see LevelControl), so a flooding workspace
//! delays only itself.
Admission
Admit(const AdmissionInput& aInput);

}
