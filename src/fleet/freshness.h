#pragma once

#include "fleet/fleetconstants.h"
#include "fleet/fleettypes.h"

namespace hemlockgauge::fleet {

//! Tracks when the configuration in force was last known to be the newest. A
//! withdrawn key must stop working within a bound at all routers, so a router
//! that is cut off from updates for that long refuses requests with keys.
class Freshness
{
public:
  //! aBound: time within which a withdrawn key must stop working; 0: no bound.
  void Configure(Duration aBound) { m_bound = aBound; }
  //! Records that the configuration in force was the newest one at aAt.
  void RecordProof(TimePoint aAt) { m_provenAt = std::max(m_provenAt, aAt); }

  TimePoint ProvenAt() const { return m_provenAt; }
  //! Time since the configuration was last known to be the newest.
  Duration Age(TimePoint aNow) const { return aNow - m_provenAt; }
  bool MayUseKeys(TimePoint aNow) const
  {
    return m_bound == Duration{} || Age(aNow) < m_bound - kRevocationMargin;
  }

private:
  Duration m_bound{};
  TimePoint m_provenAt{ TimePoint::min() / 2 };
};

}
