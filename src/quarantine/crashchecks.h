#pragma once

#include "quarantine/quarantinetypes.h"

#include <cstddef>
#include <map>
#include <vector>

namespace hemlockgauge::quarantine {

//! Requests whose connection broke while an upstream ran them, by upstream,
//! until a look there has told whether it crashed: a connection also breaks
//! for reasons that say nothing of the upstream or of the request.
class CrashChecks
{
public:
  void Broke(UpstreamId aUpstream, RequestFingerprint aRequest, TimePoint aNow);
  //! Upstreams to look at now, each named once for what broke there so far.
  std::vector<UpstreamId> TakeDue(TimePoint aNow);
  //! What waited for the result of that look; it no longer does.
  std::vector<RequestFingerprint> Take(UpstreamId aUpstream);
  //! Upstreams under which the request broke, of those not looked at yet.
  std::size_t Waiting(RequestFingerprint aRequest) const;

private:
  struct Check
  {
    TimePoint firstBreakAt{};
    bool taken = false;
    std::vector<RequestFingerprint> broken;
  };

  std::map<UpstreamId, Check> m_checks;
};

}
