#pragma once

#include "base/basetypes.h"
#include "fleet/statedload.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace hemlockgauge::fleet {

using base::Duration;
using base::TimePoint;
using base::UpstreamId;

//! Lifetime of a stated load: as long as that of a router's report.
inline constexpr Duration kStatedLoadLifetime{ 1000 };
//! Lifetime of a stated slowdown, which changes many times a second.
inline constexpr Duration kStatedSlowdownLifetime{ 100 };

//! Requests to assume at an upstream. Fractions result from mixing a statement
//! with the routers' reports.
struct StatedRequests
{
  double requests = 0; //!< running and waiting
  double waiting = 0;  //!< of these; 0 if isStated is false
  //! Whether a statement contributes to the numbers. If not, it is unknown how
  //! many requests wait.
  bool isStated = false;
};

//! The loads that upstreams stated in responses to this router.
//!
//! A statement is exact when it is sent, while reports of other routers are 60
//! to 170 ms old: without statements, all routers send to the upstream that the
//! last reports show as idle until newer reports arrive. A statement becomes
//! outdated as other routers send requests, so the reports replace it
//! gradually.
class StatedLoads
{
public:
  //! Records a statement that arrived at aNow. aListedSlots: slots in the
  //! upstream's entry; aOwnRunning: this router's requests at the upstream,
  //! including the answered one. Returns false, and keeps an earlier statement,
  //! if the statement can't be true.
  bool Record(UpstreamId aUpstream,
              const StatedLoad& aLoad,
              std::uint32_t aListedSlots,
              std::uint32_t aOwnRunning,
              TimePoint aNow);
  //! Returns the requests to assume at the upstream. aOwnRunning: this router's
  //! requests there now; aPeersRunning: those of other routers by their
  //! reports; aReportsAsOf: when these were current, by this router's clock,
  //! TimePoint::min() if there are none.
  StatedRequests Requests(UpstreamId aUpstream,
                          std::uint32_t aOwnRunning,
                          std::uint32_t aPeersRunning,
                          TimePoint aReportsAsOf,
                          TimePoint aNow) const;
  //! Returns how long work takes at the upstream relative to the usual time; 1
  //! without a statement from the last kStatedSlowdownLifetime.
  double Slowdown(UpstreamId aUpstream, TimePoint aNow) const;
  //! Removes expired statements. What is left is limited by the number of
  //! upstreams that responded within kStatedLoadLifetime.
  void Forget(TimePoint aNow);
  //! Number of upstreams that a statement is stored of.
  std::size_t Size() const { return m_statements.size(); }

private:
  struct Statement
  {
    StatedLoad load;
    std::uint32_t ownRunning = 0; //!< this router's requests when it arrived
    TimePoint receivedAt{};

    //! The load, corrected by this router's requests since it arrived.
    StatedRequests Corrected(std::uint32_t aOwnRunning) const;
  };

  //! Returns null if there is no statement younger than aLifetime.
  const Statement* Find(UpstreamId aUpstream,
                        Duration aLifetime,
                        TimePoint aNow) const;

  std::map<UpstreamId, Statement> m_statements;
};

}
