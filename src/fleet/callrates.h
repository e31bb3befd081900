#pragma once

#include "fleet/fleettypes.h"

#include <map>

namespace hemlockgauge::fleet {

//! Calls of a plain service, a second.
struct CallRate
{
  double asked = 0;    //!< by callers
  double answered = 0; //!< by upstreams, also with a failure
};

using CallRates = std::map<ServiceId, CallRate>;

//! What this router is asked and gets, with an exponential memory of
//! kShareMemory.
class CallMeter
{
public:
  void Asked(ServiceId aService, TimePoint aNow);
  void Answered(ServiceId aService, TimePoint aNow);
  const CallRates& Rates(TimePoint aNow);

private:
  void Decay(TimePoint aNow);

  CallRates m_rates;
  TimePoint m_decayedAt{};
};

//! The part of the calls of a plain service that may begin, so that all routers
//! begin together what it can run: what it answers against how busy it is.
//! Answers the load "more calls than it can run, from many routers, with news
//! of its queue that is older than the queue takes to fill": by the queue alone
//! all let in too much and then refuse too much, and a quarter of its time is
//! lost. These rates change slowly, so routers agree without knowing the queue.
//! aRate: over all routers.
double
PassingPart(const CallRate& aRate, double aUtilisation);

}
