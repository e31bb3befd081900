#include "base/bufferbudget.h"

#include <algorithm>

namespace hemlockgauge::base {

bool
BufferBudget::Fits(std::size_t aBytes) const
{
  const auto limit = LimitFor(aBytes);
  return m_total <= limit && aBytes <= limit - m_total;
}

void
BufferBudget::Change(BufferUse aUse, std::size_t aBefore, std::size_t aAfter)
{
  auto& held = m_held[static_cast<std::size_t>(aUse)];
  held = held - aBefore + aAfter;
  m_total = m_total - aBefore + aAfter;
  m_peak = std::max(m_peak, m_total);
}

void
BufferShare::Set(std::size_t aBytes)
{
  if (m_budget == nullptr || aBytes == m_bytes) {
    return;
  }
  m_budget->Change(m_use, m_bytes, aBytes);
  m_bytes = aBytes;
}

}
