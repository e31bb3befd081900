#pragma once

#include "fleet/callrates.h"

#include <map>

namespace hemlockgauge::fleet {

//! Places of a plain service's upstreams for calls that run.
struct ServicePlaces
{
  std::uint32_t taken = 0; //!< by the calls of all routers
  std::uint32_t all = 0;
};

//! Which calls of plain services may begin; see PassingPart.
class CallLevels
{
public:
  //! To be called once a kReportPeriod, with all plain services. aRates: over
  //! all routers.
  void Update(const std::map<ServiceId, ServicePlaces>& aPlaces,
              const CallRates& aRates);
  //! aKey differs between requests: draws those that pass.
  bool Passes(ServiceId aService, std::uint64_t aKey) const;

private:
  struct Level
  {
    double utilisation = 0; //!< part of places taken, mean of kShareMemory
    double part = 1;        //!< of the calls that passes
  };

  std::map<ServiceId, Level> m_levels;
};

}
