#pragma once

#include "base/basetypes.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hemlockgauge::fleet {

using base::Duration;
using base::TimePoint;
using base::UpstreamId;

//! How many requests a cold upstream may get in any second from all routers
//! together: its own rate times overrun, plus slack.
struct ColdLimit
{
  double overrun = 1;
  double slack = 0;
};

//! The routers among which cold upstreams are shared out.
struct RouterSet
{
  std::uint32_t self = 0;             //!< hash of this router's address
  std::vector<std::uint32_t> routers; //!< hashes of all known, self too
  //! Whether the set is complete enough to be the same at the other routers.
  bool isSettled = false;

  bool operator==(const RouterSet&) const = default;
};

//! What this router may send to upstreams that are cold. Each has one owner
//! among the routers, by rendezvous hashing, which sends to it at a fixed rate
//! without asking the others; the rest send nothing there.
//!
//! The rate is half of the limit: while views of the routers differ, two of
//! them may take themselves for the owner.
class WarmUp
{
public:
  void Configure(const ColdLimit& aLimit) { m_limit = aLimit; }
  void SetRouters(const RouterSet& aRouters);

  //! aPerSecond: what the upstream bears while it is cold.
  bool MaySend(UpstreamId aUpstream, double aPerSecond, TimePoint aNow) const;
  void Sent(UpstreamId aUpstream, TimePoint aNow);
  //! Requests a second that this router may send there.
  double RateFor(UpstreamId aUpstream, double aPerSecond) const;
  //! Drops what is no longer of use.
  void Forget(TimePoint aNow);

private:
  bool IsOwner(UpstreamId aUpstream) const;

  ColdLimit m_limit;
  RouterSet m_routers;
  std::map<UpstreamId, TimePoint> m_sentAt; //!< the last one
  mutable std::map<UpstreamId, bool> m_isOwner;
};

}
