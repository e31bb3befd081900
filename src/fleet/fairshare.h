#pragma once

#include "fleet/fleettypes.h"

#include <map>

namespace hemlockgauge::fleet {

//! A workspace's demand and what was admitted of it, in tokens per second.
struct WorkspaceRate
{
  double demand = 0;
  double admitted = 0;
};

using WorkspaceRates = std::map<WorkspaceId, WorkspaceRate>;

//! Splits aCapacity by max-min fairness: a workspace whose demand is below an
//! equal share gets all of it, the others get equal shares of the rest. Returns
//! that share, the most that any workspace gets; infinity if the capacity
//! covers all demands.
double
MaxMinShare(const WorkspaceRates& aRates, double aCapacity);

//! Measures the demand and the admitted work of each workspace at this router
//! as exponentially decaying rates with the time constant kRateTimeConstant.
class DemandMeter
{
public:
  //! Counts a request that arrived. aCost: see Work::Cost.
  void AddDemand(WorkspaceId aWorkspace, double aCost, TimePoint aNow);
  //! Counts an admitted request. aPrefillTokens: prompt tokens that the
  //! upstream does not have cached.
  void AddAdmitted(WorkspaceId aWorkspace,
                   double aCost,
                   double aPrefillTokens,
                   TimePoint aNow);
  //! Takes back an AddAdmitted of aAge ago: no upstream ran the request.
  void RemoveAdmitted(WorkspaceId aWorkspace,
                      double aCost,
                      double aPrefillTokens,
                      Duration aAge,
                      TimePoint aNow);
  //! Returns the rates as of aNow and drops entries with negligible rates.
  const WorkspaceRates& Rates(TimePoint aNow);
  //! Prompt tokens per second that upstreams have to prefill for admitted
  //! requests, as of the last call of another method.
  double PrefillDemand() const { return m_prefillRate; }

private:
  void Decay(TimePoint aNow);

  TimePoint m_decayedAt{};
  WorkspaceRates m_rates;
  double m_prefillRate = 0;
};

}
