#include "fleet/retrypolicy.h"

#include "base/hash.h"
#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::fleet {

namespace {

AfterFailure
FinalAnswer(const FailedAttempt& aFailed)
{
  if (aFailed.answerBegun) {
    return AfterFailure::AbortAnswer;
  }
  return aFailed.attemptsRun == 0 ? AfterFailure::AnswerNotRun
                                  : AfterFailure::AnswerUnknown;
}

//! Whether a retry needs no budget. Ends after half of the target latency, so
//! that a router that is cut off from all upstreams answers its callers in
//! time.
bool
IsExemptFromBudget(const FailedAttempt& aFailed)
{
  return aFailed.neverSent && aFailed.waited <= aFailed.target / 2;
}

}

AfterFailure
DecideAfterFailure(const FailedAttempt& aFailed, bool aBudgetAllows)
{
  const bool canResume =
    aFailed.kind == CallKind::Stream && aFailed.mayRunAgain;
  if (aFailed.answerBegun && !canResume) {
    return AfterFailure::AbortAnswer;
  }
  const bool retryAllowed = aBudgetAllows || IsExemptFromBudget(aFailed);
  if (!retryAllowed || aFailed.timeLeft < kMinRetryTime) {
    return FinalAnswer(aFailed);
  }
  const bool nothingRan = aFailed.attemptsRun == 0;
  if (nothingRan) {
    return aFailed.attemptsNotRun < kMaxNotRunAttempts ? AfterFailure::Retry
                                                       : FinalAnswer(aFailed);
  }
  const bool hasAttemptsLeft = aFailed.attemptsRun < aFailed.maxAttempts &&
                               aFailed.attemptsNotRun < kMaxNotRunAttempts;
  return aFailed.mayRunAgain && hasAttemptsLeft ? AfterFailure::Retry
                                                : FinalAnswer(aFailed);
}

bool
KeepsAdmission(const FailedAttempt& aFailed)
{
  return aFailed.attemptsRun > 0 || aFailed.answerBegun;
}

void
RetryBudget::Configure(double aRatio, double aSlack, Duration aWindow)
{
  m_ratio = aRatio;
  m_slack = aSlack;
  m_window = aWindow;
}

void
RetryBudget::SetRouters(std::size_t aRouters)
{
  m_routers = std::max<std::size_t>(aRouters, 1);
}

void
RetryBudget::SetRank(std::size_t aRank, std::size_t aRouters)
{
  m_rank = aRank;
  m_rankedRouters = std::max<std::size_t>(aRouters, 1);
}

RetryBudget::Usage&
RetryBudget::CurrentUsage(const std::string& aService, TimePoint aNow)
{
  auto& usage = m_usage[aService];
  const std::int64_t window = aNow / m_window;
  if (usage.window != window) {
    usage = { window };
  }
  return usage;
}

double
RetryBudget::RoundingOffset(const std::string& aService) const
{
  const auto shifted = (m_rank + base::HashName(aService)) % m_rankedRouters;
  return static_cast<double>(shifted) / static_cast<double>(m_rankedRouters);
}

void
RetryBudget::CountRequest(const std::string& aService, TimePoint aNow)
{
  CurrentUsage(aService, aNow).requests++;
}

bool
RetryBudget::Allows(const std::string& aService, TimePoint aNow)
{
  const auto& usage = CurrentUsage(aService, aNow);
  const double share =
    kRetryBudgetRatio *
    (m_ratio * usage.requests + m_slack / static_cast<double>(m_routers));
  return usage.retries + 1 <= std::floor(share + RoundingOffset(aService));
}

void
RetryBudget::Take(const std::string& aService, TimePoint aNow)
{
  CurrentUsage(aService, aNow).retries++;
}

}
