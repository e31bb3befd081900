#pragma once

#include "base/basetypes.h"

#include <algorithm>
#include <cstdint>

namespace hemlockgauge::base {

//! How many things a second may be logged: lines, or requests with all of
//! their lines, so that what is there can be followed.
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

  //! How many were left out since the last call.
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
