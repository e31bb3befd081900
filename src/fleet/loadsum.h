#pragma once

#include "fleet/peerreport.h"

#include <cstdint>
#include <map>

namespace hemlockgauge::fleet {

//! Adds up what routers have in progress and what workspaces ask of them.
class LoadSum
{
public:
  //! aAsOf: since when the report's loads are known, by this router's clock.
  void Add(const PeerReport& aReport, TimePoint aAsOf);
  //! Takes out what was added as part of a sum.
  void TakeOut(const PeerReport& aReport);
  //! Replaces the report's loads with their age, rates and count of routers.
  void PutInto(PeerReport& aReport, TimePoint aNow) const;
  void Clear();

  UpstreamLoad LoadOf(UpstreamId aUpstream) const;
  const WorkspaceRates& Rates() const { return m_rates; }
  const CallRates& Calls() const { return m_calls; }
  std::uint32_t Routers() const { return m_routers; }
  std::uint32_t Busy() const { return m_busy; }
  double Reading() const { return m_reading; }
  //! Since when the loads are known, in the mean over the routers.
  TimePoint AsOf() const;

private:
  std::map<UpstreamId, UpstreamLoad> m_loads;
  WorkspaceRates m_rates;
  CallRates m_calls;
  std::uint32_t m_routers = 0;
  std::uint32_t m_busy = 0;
  double m_reading = 0;
  double m_asOfMs = 0; //!< summed over the routers
};

}
