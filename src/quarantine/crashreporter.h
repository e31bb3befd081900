#pragma once

#include "quarantine/quarantinetypes.h"

namespace hemlockgauge::quarantine {

class SuspectTable;

//! Chooses what a router reports to others about its suspects.
class CrashReporter
{
public:
  //! Returns what other routers may not know yet. Each suspect is returned
  //! kReportsPerItem times after a change, since reports get lost.
  static CrashUpdates TakeUnreported(SuspectTable& aSuspects, TimePoint aNow);
  //! Returns all quarantined suspects and, in rotation, some of the others, for
  //! routers that start or were cut off.
  CrashUpdates NextRefresh(const SuspectTable& aSuspects, TimePoint aNow);

private:
  Trait m_nextToRefresh;
};

}
