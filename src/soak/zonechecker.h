#pragma once

#include "base/basetypes.h"
#include "soak/guarantees.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace hemlockgauge::soak {

//! Checks the guarantees for evacuated zones and cold upstreams, from the
//! requests that upstreams receive.
class ZoneChecker
{
public:
  //! Maximum number of requests in any second from all routers to one cold
  //! upstream.
  static constexpr std::size_t kMaxColdRequestsPerSecond = 11;

  explicit ZoneChecker(GuaranteeChecker& aGuarantees)
    : m_guarantees(aGuarantees)
  {
  }

  void Evacuated(const std::string& aZone, base::TimePoint aNow);
  void Restored(const std::string& aZone);
  //! Records that an upstream is cold until aUntil; also for one that starts
  //! cold.
  void TurnedCold(const std::string& aUpstream, base::TimePoint aUntil);
  //! Records that a request started at an upstream, and checks the guarantees.
  void RecordRun(const std::string& aUpstream,
                 const std::string& aZone,
                 const std::string& aRequest,
                 base::TimePoint aNow);

private:
  struct Cold
  {
    base::TimePoint until{};
    std::deque<base::TimePoint>
      recentStarts; //!< request starts in the last second
  };

  GuaranteeChecker& m_guarantees;
  std::map<std::string, base::TimePoint>
    m_evacuatedAt;                    //!< start of the evacuation, by zone
  std::map<std::string, Cold> m_cold; //!< by upstream
};

}
