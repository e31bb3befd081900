#pragma once

#include "fleet/loadsum.h"
#include "fleet/peerreport.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! Loads and request rates of the other routers, as their reports state them.
class PeerView
{
public:
  //! Sets which reports count. A hub adds up the reports of the routers of its
  //! group aGroup, the sums of the zone's other groups and those of the other
  //! zones. Any other router uses the fleet sum that its hubs send.
  void SetRole(bool aIsHub, std::uint64_t aGroup);
  //! Stores a report. Returns false if it is no newer than the known one, or is
  //! not for this router's role.
  bool Take(const PeerReport& aReport, TimePoint aNow);
  //! Keeps a report that this router sent, to subtract it from sums that
  //! contain it.
  void RecordSent(const PeerReport& aOwn);
  //! Removes reports older than kReportTtl.
  void Forget(TimePoint aNow);

  UpstreamLoad LoadOf(UpstreamId aUpstream) const
  {
    return m_sum.LoadOf(aUpstream);
  }
  //! Loads of all upstreams that run requests of other routers.
  const std::map<UpstreamId, UpstreamLoad>& Loads() const
  {
    return m_sum.Loads();
  }
  const WorkspaceRates& Rates() const { return m_sum.Rates(); }
  //! Call rates of plain services.
  const CallRates& Calls() const { return m_sum.Calls(); }
  //! Prompt tokens per second that upstreams have to process for the requests
  //! that the other routers admitted.
  double PrefillDemand() const { return m_sum.PrefillDemand(); }
  //! Number of routers that the view covers, without this one.
  std::size_t RouterCount() const { return m_sum.RouterCount(); }
  //! Number of these routers that are busy, see PeerReport::busyRouters.
  std::size_t BusyRouters() const { return m_sum.BusyRouters(); }
  //! The last report of each router that reports to this one directly.
  std::vector<HeardRouter> Heard() const;
  //! The sum over this router's group, itself included.
  PeerReport GroupSum(const PeerReport& aOwn, TimePoint aNow) const;
  //! The sum over this router's availability zone, itself included.
  PeerReport ZoneSum(const PeerReport& aOwn, TimePoint aNow) const;
  //! The sum over the fleet, this router included.
  PeerReport FleetSum(const PeerReport& aOwn, TimePoint aNow);
  //! Mean age of the known loads of the other routers.
  Duration MeanLoadAge(TimePoint aNow) const;
  //! Time since the arrival of the oldest report in use.
  Duration OldestReportAge(TimePoint aNow) const;

private:
  struct ReceivedReport
  {
    PeerReport report;
    TimePoint receivedAt{}; //!< when it arrived

    //! When its loads were current.
    TimePoint AsOf() const { return receivedAt - report.loadAge; }
  };

  template<typename Table>
  static std::vector<HeardRouter> LastReportsOf(const Table& aTable);

  static PeerReport MakeSum(const LoadSum& aAll,
                            const PeerReport& aOwn,
                            ReportScope aScope,
                            TimePoint aNow);
  LoadSum AddUpGroup(const PeerReport& aOwn) const;
  //! Computes m_sum.
  void Recompute();
  //! Computes m_sum now if that is cheap, else with the next Forget()
  //! or FleetSum().
  void RecomputeIfCheap();
  //! Returns the report of this router that aSum contains, or null.
  const PeerReport* FindOwnReportIn(const PeerReport& aSum) const;

  bool m_isHub = true;
  std::uint64_t m_group = 0;
  //! Reports of single routers, by router name.
  std::map<std::string, ReceivedReport> m_routerReports;
  //! Sums of the zone's other groups, by group.
  std::map<std::uint64_t, ReceivedReport> m_groupSums;
  //! Sums of other zones, by zone.
  std::map<std::uint32_t, ReceivedReport> m_zoneSums;
  //! Fleet sums, by the name of the hub that sent them.
  std::map<std::string, ReceivedReport> m_fleetSums;
  //! The last reports that this router sent itself.
  std::deque<PeerReport> m_sentReports;
  LoadSum m_sum;
  bool m_stale = false; //!< m_sum lacks the last reports
};

}
