#pragma once

#include "fleet/fairshare.h"

namespace hemlockgauge::fleet {

//! How much of what each workspace asks may begin, so that all begin together
//! what the engines can read. Answers the load "far more is asked than can be
//! read, and routers see each other's work late": a limit on the foreseen wait
//! alone then lets waves through, for all routers see room at the same time.
//! The rates asked are sums over the fleet and change slowly, so all routers
//! agree on the level without knowing what the others send right now. Not for
//! small fleets: there the waits are known well enough, and the level
//! is an estimate.
class PassLevel
{
public:
  PassLevel();

  //! aCapacity: what may begin, in tokens a second as in aRates.
  void Update(const WorkspaceRates& aRates, double aCapacity);
  //! Whether one more request of aWorkspace passes; of one that asks twice
  //! the level every second one does.
  bool Pass(WorkspaceId aWorkspace);
  //! The most that any workspace may begin, in tokens a second.
  double Level() const { return m_level; }

private:
  double PartOf(const WorkspaceRate& aRate) const;

  struct Account
  {
    double part = 1;   //!< of what the workspace asks that passes
    double credit = 0; //!< of a request; one passes at 1
  };

  double m_level;
  std::map<WorkspaceId, Account> m_accounts;
};

}
