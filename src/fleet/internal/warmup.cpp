#include "fleet/warmup.h"

#include "base/hash.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

constexpr double kMillisPerSecond = 1000.0;
//! Of a limit that holds for all routers, what the owner uses.
constexpr double kOwnerPart = 0.5;
//! Longer than the pause between two requests at any rate of use.
constexpr Duration kSentKept{ 60000 };

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
    const auto own = rank(m_routers.self);
    found->second =
      std::none_of(m_routers.routers.begin(),
                   m_routers.routers.end(),
                   [&](std::uint32_t aRouter) {
                     return aRouter != m_routers.self && rank(aRouter) >= own;
                   });
  }
  return found->second;
}

double
WarmUp::RateFor(UpstreamId aUpstream, double aPerSecond) const
{
  if (!IsOwner(aUpstream)) {
    return 0;
  }
  const double most = aPerSecond * m_limit.overrun + m_limit.slack;
  //! NOTE a second may hold one request more than its length allows.
  return std::min(aPerSecond, std::max(kOwnerPart * most - 1, 0.0));
}

bool
WarmUp::MaySend(UpstreamId aUpstream, double aPerSecond, TimePoint aNow) const
{
  const double rate = RateFor(aUpstream, aPerSecond);
  if (rate <= 0) {
    return false;
  }
  const auto last = m_sentAt.find(aUpstream);
  if (last == m_sentAt.end()) {
    return true;
  }
  const auto past = static_cast<double>((aNow - last->second).count());
  return past >= kMillisPerSecond / rate;
}

void
WarmUp::Sent(UpstreamId aUpstream, TimePoint aNow)
{
  m_sentAt[aUpstream] = aNow;
}

void
WarmUp::Forget(TimePoint aNow)
{
  std::erase_if(m_sentAt, [&](const auto& aEntry) {
    return aNow - aEntry.second > kSentKept;
  });
}

}
