#pragma once

#include "fleet/loadsum.h"
#include "fleet/peerreport.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! What the other routers have in progress and ask, from their reports.
class PeerView
{
public:
  //! aIsHub: this router hears the others of its group itself, and the sums
  //! of its zone's other groups and of the other zones. Otherwise it hears the
  //! sum of all from its hubs.
  void SetRole(bool aIsHub, std::uint64_t aGroup);
  //! Returns false for one that is older than what is known.
  bool Take(const PeerReport& aReport, TimePoint aNow);
  //! What this router itself told, to be taken out of sums again.
  void Sent(const PeerReport& aOwn);
  //! Drops what is too old to count.
  void Forget(TimePoint aNow);

  UpstreamLoad LoadOf(UpstreamId aUpstream) const
  {
    return m_sum.LoadOf(aUpstream);
  }
  const WorkspaceRates& Rates() const { return m_sum.Rates(); }
  //! Of plain services, by the others.
  const CallRates& Calls() const { return m_sum.Calls(); }
  //! Tokens a second that have to be read for what the others began.
  double Reading() const { return m_sum.Reading(); }
  //! How many routers the view covers, without this one.
  std::size_t Routers() const { return m_sum.Routers(); }
  //! How many of them have no rest.
  std::size_t Busy() const { return m_sum.Busy(); }
  //! Routers heard directly, with the last report of each.
  std::vector<HeardRouter> Heard() const;
  //! The sum over this router's group, itself included.
  PeerReport GroupSum(const PeerReport& aOwn, TimePoint aNow) const;
  //! The sum over this router's availability zone, itself included.
  PeerReport ZoneSum(const PeerReport& aOwn, TimePoint aNow) const;
  //! The sum over the fleet, this router included.
  PeerReport FleetSum(const PeerReport& aOwn, TimePoint aNow);
  //! How old what is known of the others' loads is, in the mean.
  Duration NewsAge(TimePoint aNow) const;
  //! Age of the oldest report that counts.
  Duration Age(TimePoint aNow) const;

private:
  struct Told
  {
    PeerReport report;
    TimePoint at{};

    TimePoint AsOf() const { return at - report.loadAge; }
  };

  template<typename Table>
  static std::vector<HeardRouter> HeardOf(const Table& aTable);

  static PeerReport SumOf(const LoadSum& aAll,
                          const PeerReport& aOwn,
                          ReportScope aScope,
                          TimePoint aNow);
  LoadSum SumOfGroup(const PeerReport& aOwn) const;
  void Sum();
  void SumSoon();
  const PeerReport* OwnPartOf(const PeerReport& aSum) const;

  bool m_isHub = true;
  std::uint64_t m_group = 0;
  std::map<std::string, Told> m_told;     //!< by router
  std::map<std::uint64_t, Told> m_groups; //!< sums of the zone's other groups
  std::map<std::uint32_t, Told> m_zones;  //!< sums of other zones
  std::map<std::string, Told> m_fleet;    //!< sums of all, by hub
  std::deque<PeerReport> m_own;           //!< what was told lately
  LoadSum m_sum;
  bool m_stale = false; //!< m_sum lacks what came last
};

}
