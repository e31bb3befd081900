#pragma once

#include "fleet/peerreport.h"

#include <cstdint>
#include <map>

namespace hemlockgauge::fleet {

//! Sum of the reports of several routers: requests in progress per upstream,
//! request rates per workspace, call rates per service.
class LoadSum
{
public:
  //! Adds a report. aAsOf is the time, by this router's clock, at which the
  //! report's loads were current.
  void Add(const PeerReport& aReport, TimePoint aAsOf);
  //! Subtracts a report that is contained in a sum added before. Counts
  //! and rates don't go below zero.
  void Subtract(const PeerReport& aReport);
  //! Replaces the loads, rates and router counts of aReport by those of this
  //! sum, and sets the age of the loads at aNow.
  void WriteTo(PeerReport& aReport, TimePoint aNow) const;
  void Clear();

  UpstreamLoad LoadOf(UpstreamId aUpstream) const;
  const std::map<UpstreamId, UpstreamLoad>& Loads() const { return m_loads; }
  const WorkspaceRates& Rates() const { return m_rates; }
  const CallRates& Calls() const { return m_calls; }
  std::uint32_t RouterCount() const { return m_routers; }
  std::uint32_t BusyRouters() const { return m_busy; }
  double PrefillDemand() const { return m_reading; }
  //! Time at which the loads were current, by this router's clock, as the mean
  //! over the routers.
  TimePoint AsOf() const;

private:
  std::map<UpstreamId, UpstreamLoad> m_loads;
  WorkspaceRates m_rates;
  CallRates m_calls;
  std::uint32_t m_routers = 0;
  std::uint32_t m_busy = 0;
  double m_reading = 0;
  double m_asOfMs = 0; //!< times in ms, summed over the routers
};

}
