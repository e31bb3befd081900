#include "decision/internal/bytebudget.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

void
ByteBudget::Advance(base::TimePoint aNow)
{
  if (!m_started) {
    m_started = true;
    m_last = aNow;
    m_tokens = kSendBurstBytes;
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - m_last).count();
  m_tokens =
    std::min(kSendBurstBytes, m_tokens + seconds * kSendBytesPerSecond);
  m_last = aNow;
}

bool
ByteBudget::Allows(std::size_t aBytes) const
{
  return m_tokens >= static_cast<double>(aBytes);
}

void
ByteBudget::Charge(std::size_t aBytes)
{
  m_tokens -= static_cast<double>(aBytes);
}

}
