#include "fleet/warmup.h"

#include "base/hash.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

constexpr double kMillisPerSecond = 1000.0;
//! The fraction of the limit for all routers that the owner uses.
constexpr double kOwnerRatio = 0.5;
//! Retention of send times. Longer than the interval between two requests at
//! any rate that occurs in practice.
constexpr Duration kSentRetention{ 60000 };

}

void
WarmUp::SetRouters(const RouterSet& aRouters)
{
  if (aRouters == m_routers) {
    return;
  }
  m_routers = aRouters;
  m_isOwner.clear();
}

bool
WarmUp::IsOwner(UpstreamId aUpstream) const
{
  if (!m_routers.isSettled) {
    return false;
  }
  const auto [found, isNew] = m_isOwner.try_emplace(aUpstream, false);
  if (isNew) {
    const auto rank = [&](std::uint32_t aRouter) {
      return base::HashPair(aRouter, base::Raw(aUpstream));
    };
    const auto ownRank = rank(m_routers.self);
    found->second = std::none_of(m_routers.routers.begin(),
                                 m_routers.routers.end(),
                                 [&](std::uint32_t aRouter) {
                                   return aRouter != m_routers.self &&
                                          rank(aRouter) >= ownRank;
                                 });
  }
  return found->second;
}

double
WarmUp::RatePerSecond(UpstreamId aUpstream, double aPerSecond) const
{
  if (!IsOwner(aUpstream)) {
    return 0;
  }
  const double limit = aPerSecond * m_limit.overrun + m_limit.slack;
  //! NOTE at a fixed interval, a window of a second can contain one request
  //! more than the rate.
  return std::min(aPerSecond, std::max(kOwnerRatio * limit - 1, 0.0));
}

bool
WarmUp::MaySend(UpstreamId aUpstream, double aPerSecond, TimePoint aNow) const
{
  const double rate = RatePerSecond(aUpstream, aPerSecond);
  if (rate <= 0) {
    return false;
  }
  const auto last = m_sentAt.find(aUpstream);
  if (last == m_sentAt.end()) {
    return true;
  }
  const auto elapsedMs = static_cast<double>((aNow - last->second).count());
  return elapsedMs >= kMillisPerSecond / rate;
}

void
WarmUp::RecordRequest(UpstreamId aUpstream, TimePoint aNow)
{
  m_sentAt[aUpstream] = aNow;
}

void
WarmUp::Forget(TimePoint aNow)
{
  std::erase_if(m_sentAt, [&](const auto& aEntry) {
    return aNow - aEntry.second > kSentRetention;
  });
}

}
