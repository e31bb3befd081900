#include "quarantine/trialturns.h"

#include "quarantine/quarantineconstants.h"

#include <algorithm>

namespace hemlockgauge::quarantine {

void
TrialTurns::SetRank(std::size_t aRank, std::size_t aRouters)
{
  m_rank = aRank;
  m_routers = std::max<std::size_t>(aRouters, 1);
}

bool
TrialTurns::IsOwnTurn(const Trait& aTrait, base::Duration aSinceLastCrash) const
{
  if (m_routers == 1) {
    return true;
  }
  const auto within = aSinceLastCrash % kTrialTurn;
  if (within < kTrialTurnMargin || within >= kTrialTurn - kTrialTurnMargin) {
    return false;
  }
  //! NOTE the id makes the turns of several traits begin at different routers.
  const auto turn = static_cast<std::uint64_t>(aSinceLastCrash / kTrialTurn);
  return (aTrait.id + turn) % m_routers == m_rank;
}

}
