#pragma once

#include "fleet/fleettypes.h"
#include "fleet/requestfingerprint.h"

#include <cstddef>
#include <map>
#include <vector>

namespace hemlockgauge::fleet {

//! What a look at an upstream told whose connections broke under requests.
enum class CheckResult : std::uint8_t
{
  Crashed, //!< nothing listens there any more
  Lives,   //!< it takes connections
  Unknown  //!< neither came in time
};
inline constexpr auto kCheckResultNames =
  base::MakeEnumNames<CheckResult>("crashed", "lives", "unknown");

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
