#pragma once

#include "base/basetypes.h"

#include <algorithm>
#include <cstdint>

namespace hemlockgauge::base {

//! Token bucket that limits what is logged per second: single lines, or whole
//! requests, so that a logged request keeps all of its lines.
class LogRateLimiter
{
public:
  explicit LogRateLimiter(double aPerSecond)
    : m_perSecond(aPerSecond)
    , m_tokens(aPerSecond)
  {
  }

  //! Takes one token; false if none is left and the item must not be logged.
  bool Take(TimePoint aNow)
  {
    const auto elapsedMs = static_cast<double>((aNow - m_refilledAt).count());
    m_refilledAt = aNow;
    m_tokens =
      std::min(m_perSecond, m_tokens + elapsedMs * m_perSecond / 1000.0);
    if (m_tokens < 1.0) {
      m_refused++;
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

  //! Returns the number of items refused since the last call and resets it.
  std::uint64_t TakeRefusedCount()
  {
    const auto refused = m_refused;
    m_refused = 0;
    return refused;
  }

private:
  double m_perSecond;
  double m_tokens;
  TimePoint m_refilledAt{};
  std::uint64_t m_refused = 0;
};

}
