#pragma once

#include "fleet/peerreport.h"

#include <cstdint>
#include <map>

namespace hemlockgauge::fleet {

//! Adds up what routers have in progress and what workspaces ask of them.
class LoadSum
{
public:
  void Add(const PeerReport& aReport);
  //! Takes out what was added as part of a sum.
  void TakeOut(const PeerReport& aReport);
  //! Replaces the report's loads, rates and count of routers.
  void PutInto(PeerReport& aReport) const;
  void Clear();

  UpstreamLoad LoadOf(UpstreamId aUpstream) const;
  const WorkspaceRates& Rates() const { return m_rates; }
  std::uint32_t Routers() const { return m_routers; }
  std::uint32_t Busy() const { return m_busy; }
  double Reading() const { return m_reading; }

private:
  std::map<UpstreamId, UpstreamLoad> m_loads;
  WorkspaceRates m_rates;
  std::uint32_t m_routers = 0;
  std::uint32_t m_busy = 0;
  double m_reading = 0;
};

}
