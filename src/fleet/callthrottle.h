#pragma once

#include "fleet/callrates.h"

#include <map>

namespace hemlockgauge::fleet {

//! Slots of all upstreams of a plain service.
struct ServiceSlots
{
  std::uint32_t used = 0;  //!< used by calls of all routers
  std::uint32_t total = 0; //!< used and free
};

//! Throttles calls to plain services under overload; see AdmittedRatio.
class CallThrottle
{
public:
  //! Must be called once per kReportInterval with all plain services. aRates:
  //! sums over all routers.
  void Update(const std::map<ServiceId, ServiceSlots>& aPlaces,
              const CallRates& aRates);
  //! Whether a call may begin. aKey must differ between requests: the admitted
  //! ratio is drawn by its hash.
  bool Admits(ServiceId aService, std::uint64_t aKey) const;

private:
  struct Level
  {
    double utilisation = 0;   //!< used slots, averaged over kRateTimeConstant
    double admittedRatio = 1; //!< of calls
  };

  std::map<ServiceId, Level> m_levels;
};

}
