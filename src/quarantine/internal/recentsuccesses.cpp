#include "quarantine/recentsuccesses.h"

#include "quarantine/quarantineconstants.h"

namespace hemlockgauge::quarantine {

void
RecentSuccesses::Add(RequestFingerprint aRequest, TimePoint aNow)
{
  m_last[aRequest] = aNow;
  m_order.push_back({ aRequest, aNow });
  if (m_order.size() <= kMaxRecentSuccesses) {
    return;
  }
  const auto oldest = m_order.front();
  m_order.pop_front();
  const auto found = m_last.find(oldest.request);
  if (found != m_last.end() && found->second == oldest.at) {
    m_last.erase(found);
  }
}

std::optional<TimePoint>
RecentSuccesses::Last(RequestFingerprint aRequest) const
{
  const auto found = m_last.find(aRequest);
  return found == m_last.end() ? std::nullopt : std::optional(found->second);
}

}
