#pragma once

#include "quarantine/quarantinetypes.h"

#include <cstddef>
#include <map>
#include <vector>

namespace hemlockgauge::quarantine {

//! Requests whose connection broke while an upstream ran them, by upstream,
//! until a check has shown whether the upstream crashed. Connections also break
//! for reasons that have nothing to do with the upstream or the request.
class CrashChecks
{
public:
  //! Records that the connection of aRequest to aUpstream broke.
  void RecordBrokenConnection(UpstreamId aUpstream,
                              RequestFingerprint aRequest,
                              TimePoint aNow);
  //! Returns the upstreams to check now: those whose first connection broke
  //! kCrashCheckDelay ago. Each is returned once until Take() ends its check.
  std::vector<UpstreamId> StartDueChecks(TimePoint aNow);
  //! Ends the check of an upstream. Returns the requests that waited for its
  //! result.
  std::vector<RequestFingerprint> EndCheck(UpstreamId aUpstream);
  //! Number of upstreams with an unfinished check that aRequest waits for.
  std::size_t PendingChecks(RequestFingerprint aRequest) const;

private:
  struct Check
  {
    TimePoint firstBreakAt{};
    bool isStarted = false;
    std::vector<RequestFingerprint> requests;
  };

  std::map<UpstreamId, Check> m_checks;
};

}
