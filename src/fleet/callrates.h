#pragma once

#include "fleet/fleettypes.h"

#include <map>

namespace hemlockgauge::fleet {

//! Rates of calls to a plain service, in calls per second.
struct CallRate
{
  double demand = 0;   //!< received from callers
  double answered = 0; //!< answered by upstreams, failures included
};

using CallRates = std::map<ServiceId, CallRate>;

//! Measures calls to plain services and their answers at this router as
//! exponentially decaying rates with the time constant kRateTimeConstant.
class CallMeter
{
public:
  void AddCall(ServiceId aService, TimePoint aNow);
  void AddAnswer(ServiceId aService, TimePoint aNow);
  //! Returns the rates as of aNow and drops entries with negligible rates.
  const CallRates& Rates(TimePoint aNow);

private:
  void Decay(TimePoint aNow);

  CallRates m_rates;
  TimePoint m_decayedAt{};
};

//! Returns the ratio of calls to a plain service to admit, so that all routers
//! together admit as many as it can run. Its capacity follows from its answer
//! rate (aRate, summed over all routers) and its utilisation.
//!
//! Handles overload by many routers whose reports of the service's queue are
//! older than the queue takes to fill. If routers decided by the queue alone,
//! all would admit too many calls and then refuse too many, and a quarter of
//! the service's time would be lost. The rates change slowly, so routers agree
//! without knowing the queue.
double
AdmittedRatio(const CallRate& aRate, double aUtilisation);

}
