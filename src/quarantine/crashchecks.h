#pragma once

#include "quarantine/quarantinetypes.h"
#include "quarantine/uncheckedrun.h"

#include <cstddef>
#include <map>
#include <vector>

namespace hemlockgauge::quarantine {

//! Runs whose connection ended, by upstream, until a check has shown whether
//! the upstream crashed. Connections also end for reasons that have nothing to
//! do with the upstream or the request.
class CrashChecks
{
public:
  //! Adds a run whose connection to aUpstream ended.
  void AddRun(UpstreamId aUpstream, UncheckedRun aRun, TimePoint aNow);
  //! Returns the upstreams to check now: those whose first connection
  //! ended kCrashCheckDelay ago. Each is returned once until EndCheck().
  std::vector<UpstreamId> StartDueChecks(TimePoint aNow);
  //! Ends the check of an upstream. Returns the runs that waited for its
  //! result.
  std::vector<UncheckedRun> EndCheck(UpstreamId aUpstream);
  //! Number of upstreams with an unfinished check that runs with aTrait wait
  //! for.
  std::size_t PendingChecks(const Trait& aTrait) const;

private:
  struct Check
  {
    TimePoint firstEndAt{};
    bool isStarted = false;
    std::vector<UncheckedRun> runs;
  };

  std::map<UpstreamId, Check> m_checks;
};

}
