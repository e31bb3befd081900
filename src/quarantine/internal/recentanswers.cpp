#include "quarantine/recentanswers.h"

#include "quarantine/quarantineconstants.h"

namespace hemlockgauge::quarantine {

void
RecentAnswers::Add(const Trait& aTrait, TimePoint aNow)
{
  m_last[aTrait] = aNow;
  m_order.push_back({ aTrait, aNow });
  if (m_order.size() <= kMaxRecentAnswers) {
    return;
  }
  const auto oldest = m_order.front();
  m_order.pop_front();
  const auto found = m_last.find(oldest.trait);
  if (found != m_last.end() && found->second == oldest.at) {
    m_last.erase(found);
  }
}

std::optional<TimePoint>
RecentAnswers::Last(const Trait& aTrait) const
{
  const auto found = m_last.find(aTrait);
  return found == m_last.end() ? std::nullopt : std::optional(found->second);
}

}
