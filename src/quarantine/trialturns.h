#pragma once

#include "base/basetypes.h"
#include "quarantine/trait.h"

#include <cstddef>

namespace hemlockgauge::quarantine {

//! Decides which router of a fleet may try what is quarantined, so that only
//! one does at a time. The time since the last crash, which all routers know,
//! is divided into turns that go round the routers.
class TrialTurns
{
public:
  //! aRank: position of this router among aRouters, the same at all routers.
  void SetRank(std::size_t aRank, std::size_t aRouters);
  //! Whether it is this router's turn. Always if no other router is known.
  bool IsOwnTurn(const Trait& aTrait, base::Duration aSinceLastCrash) const;

private:
  std::size_t m_rank = 0;
  std::size_t m_routers = 1;
};

}
