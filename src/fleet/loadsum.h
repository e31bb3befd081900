#pragma once

#include "fleet/telling.h"

#include <cstdint>
#include <map>

namespace hemlockgauge::fleet {

//! Adds up what routers have in progress and what workspaces ask of them.
class LoadSum
{
public:
  void Add(const Telling& aTelling);
  //! Takes out what was added as part of a sum.
  void TakeOut(const Telling& aTelling);
  //! Replaces the telling's loads, rates and count of routers.
  void PutInto(Telling& aTelling) const;
  void Clear();

  UpstreamLoad LoadOf(UpstreamId aUpstream) const;
  const WorkspaceRates& Rates() const { return m_rates; }
  std::uint32_t Routers() const { return m_routers; }

private:
  std::map<UpstreamId, UpstreamLoad> m_loads;
  WorkspaceRates m_rates;
  std::uint32_t m_routers = 0;
};

}
