#pragma once

#include "base/basetypes.h"

#include <algorithm>
#include <cstdint>

namespace hemlockgauge::base {

//! How many requests may have their lines in the log. A request is logged
//! whole or not at all, so that what is there can be followed.
class LogBudget
{
public:
  explicit LogBudget(double aPerSecond)
    : m_perSecond(aPerSecond)
    , m_tokens(aPerSecond)
  {
  }

  bool Take(TimePoint aNow)
  {
    const auto past = static_cast<double>((aNow - m_at).count());
    m_at = aNow;
    m_tokens = std::min(m_perSecond, m_tokens + past * m_perSecond / 1000.0);
    if (m_tokens < 1.0) {
      m_left++;
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

  //! Requests without their lines since the last call.
  std::uint64_t TakeLeftOut()
  {
    const auto left = m_left;
    m_left = 0;
    return left;
  }

private:
  double m_perSecond;
  double m_tokens;
  TimePoint m_at{};
  std::uint64_t m_left = 0;
};

}
