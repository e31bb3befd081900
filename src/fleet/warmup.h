#pragma once

#include "base/basetypes.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace hemlockgauge::fleet {

using base::Duration;
using base::TimePoint;
using base::UpstreamId;

//! The limit for requests to a cold upstream within any second, from all
//! routers together: the rate that the upstream allows times overrun, plus
//! slack.
struct ColdLimit
{
  double overrun = 1;
  double slack = 0;
};

//! The routers among which the cold upstreams are divided.
struct RouterSet
{
  std::uint32_t self = 0; //!< hash of this router's address
  //! Hashes of the addresses of all known routers, including this one.
  std::vector<std::uint32_t> routers;
  //! Whether the set is likely to be complete and the same at other routers.
  bool isSettled = false;

  //! Number of routers whose hash is below that of this router.
  std::size_t Rank() const
  {
    return static_cast<std::size_t>(
      std::count_if(routers.begin(), routers.end(), [this](std::uint32_t aOne) {
        return aOne < self;
      }));
  }

  bool operator==(const RouterSet&) const = default;
};

//! Limits the requests of this router to cold upstreams. Rendezvous hashing
//! assigns each upstream one owner among the routers, which sends to it at a
//! fixed rate without coordination; the other routers send nothing there.
//!
//! The rate is half of the limit, because two routers may regard themselves as
//! the owner while their sets of routers differ.
class WarmUp
{
public:
  void Configure(const ColdLimit& aLimit) { m_limit = aLimit; }
  void SetRouters(const RouterSet& aRouters);

  //! Whether this router may send a request now. aPerSecond: requests per
  //! second that the upstream allows while it is cold.
  bool MaySend(UpstreamId aUpstream, double aPerSecond, TimePoint aNow) const;
  //! Records a request that was sent.
  void RecordRequest(UpstreamId aUpstream, TimePoint aNow);
  //! Requests per second that this router may send; 0 if it is not the owner.
  double RatePerSecond(UpstreamId aUpstream, double aPerSecond) const;
  //! Drops send times that no longer affect MaySend.
  void Forget(TimePoint aNow);

private:
  bool IsOwner(UpstreamId aUpstream) const;

  ColdLimit m_limit;
  RouterSet m_routers;
  std::map<UpstreamId, TimePoint> m_sentAt;     //!< time of the last request
  mutable std::map<UpstreamId, bool> m_isOwner; //!< cache for m_routers
};

}
