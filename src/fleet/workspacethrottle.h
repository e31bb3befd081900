#pragma once

#include "fleet/fairshare.h"

namespace hemlockgauge::fleet {

//! Throttles the requests of each workspace by a limit that is the same at all
//! routers, so that they admit together as much as the engines can prefill.
//!
//! Handles a demand far above the prefill capacity while routers see each
//! other's requests late. A limit on the predicted wait alone then admits
//! requests in waves, because all routers see free capacity at the same time.
//! The demand rates are sums over the fleet and change slowly, so all routers
//! compute the same limit without knowing what the others send right now. Small
//! fleets don't use it: there the waits are known well enough, and the limit is
//! only an estimate.
class WorkspaceThrottle
{
public:
  WorkspaceThrottle();

  //! Recomputes the limit. aRates: sums over the fleet. aCapacity: tokens per
  //! second to admit, counted as in aRates; infinity: no limit.
  void Update(const WorkspaceRates& aRates, double aCapacity);
  //! Whether one more request of aWorkspace is admitted, which uses up its
  //! credit. A workspace whose demand is twice the limit passes with every
  //! second request.
  bool TryAdmit(WorkspaceId aWorkspace);
  //! Greatest rate that is admitted of any workspace, in tokens per second.
  double Limit() const { return m_level; }

private:
  double AdmittedRatioOf(const WorkspaceRate& aRate) const;

  struct Account
  {
    double admittedRatio = 1; //!< of the workspace's requests
    double credit = 0;        //!< in requests; one is admitted at 1
  };

  double m_level;
  std::map<WorkspaceId, Account> m_accounts;
};

}
