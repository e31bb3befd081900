#include "fleet/peerview.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

bool
PeerView::Take(const Telling& aTelling, TimePoint aNow)
{
  const auto found = m_told.find(aTelling.router);
  if (found != m_told.end()) {
    const auto& known = found->second.telling;
    const bool older =
      aTelling.life < known.life ||
      (aTelling.life == known.life && aTelling.sequence <= known.sequence);
    if (older) {
      return false;
    }
  }
  m_told[aTelling.router] = { aTelling, aNow };
  Sum();
  return true;
}

void
PeerView::Forget(TimePoint aNow)
{
  const auto dropped = std::erase_if(m_told, [&](const auto& aEntry) {
    return aNow - aEntry.second.at > kTellingKept;
  });
  if (dropped > 0) {
    Sum();
  }
}

void
PeerView::Sum()
{
  m_loads.clear();
  m_rates.clear();
  for (const auto& [router, told] : m_told) {
    for (const auto& load : told.telling.loads) {
      auto& sum = m_loads[base::Raw(load.upstream)];
      sum.upstream = load.upstream;
      sum.unreadTokens += load.unreadTokens;
      sum.running += load.running;
    }
    for (const auto& [workspace, rate] : told.telling.rates) {
      auto& sum = m_rates[workspace];
      sum.asked += rate.asked;
      sum.begun += rate.begun;
    }
  }
}

UpstreamLoad
PeerView::LoadOf(UpstreamId aUpstream) const
{
  const auto found = m_loads.find(base::Raw(aUpstream));
  return found == m_loads.end() ? UpstreamLoad{ aUpstream, 0, 0 }
                                : found->second;
}

std::vector<ClockEcho>
PeerView::Echoes() const
{
  std::vector<ClockEcho> echoes;
  for (const auto& [router, told] : m_told) {
    echoes.push_back(
      { base::RouterId(base::HashName(router)), told.telling.sentAt });
  }
  return echoes;
}

Duration
PeerView::Age(TimePoint aNow) const
{
  Duration oldest{};
  for (const auto& [router, told] : m_told) {
    oldest = std::max(oldest, aNow - told.at);
  }
  return oldest;
}

}
