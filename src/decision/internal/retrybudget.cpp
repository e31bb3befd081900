#include "decision/internal/retrybudget.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

void
RetryBudget::CountFirstAttempt()
{
  m_tokens = std::min(kRetryBudgetBurst, m_tokens + kRetryBudgetRatio);
}

bool
RetryBudget::Take()
{
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

}
