#pragma once

#include "fleet/fleetconstants.h"
#include "fleet/fleettypes.h"

namespace hemlockgauge::fleet {

//! Whether what this router believes about keys is recent enough. A key
//! that was withdrawn must stop working within a bound everywhere, also at
//! a router that cannot hear of it: such a router refuses keyed requests.
class Freshness
{
public:
  //! aBound: within which a withdrawn key stops working; 0: none is set.
  void Configure(Duration aBound) { m_bound = aBound; }
  //! The configuration in force was the newest one at aAt.
  void Proven(TimePoint aAt) { m_provenAt = std::max(m_provenAt, aAt); }

  TimePoint ProvenAt() const { return m_provenAt; }
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
