#include "fleet/storeera.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

bool
StoreEra::Observe(std::uint64_t aEra, TimePoint aNow)
{
  if (m_era && aEra < *m_era) {
    return false;
  }
  if (m_era && aEra > *m_era) {
    m_beganAt = aNow;
  }
  m_era = aEra;
  return true;
}

void
StoreEra::Learn(std::uint64_t aEra, Duration aAge, TimePoint aNow)
{
  const auto beganAt = aNow - aAge;
  if (!m_era || aEra > *m_era) {
    m_era = aEra;
    m_beganAt = beganAt;
  } else if (aEra == *m_era) {
    m_beganAt = std::min(m_beganAt.value_or(beganAt), beganAt);
  }
}

TimePoint
StoreEra::SettledAt() const
{
  return m_beganAt ? *m_beganAt + kRewriteGracePeriod : TimePoint::min();
}

std::optional<Duration>
StoreEra::Age(TimePoint aNow) const
{
  if (!m_beganAt || aNow - *m_beganAt > kEraReportTime) {
    return std::nullopt;
  }
  return aNow - *m_beganAt;
}

}
