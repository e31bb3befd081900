#include "fleet/retrypolicy.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

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

double
RetryBudget::LocalSlack() const
{
  return m_slack * kRetryBudgetRatio / static_cast<double>(m_routers);
}

//! The slack is refilled over one window, so a window of that length admits at
//! most twice the bucket size. LocalSlack includes kRetryBudgetRatio, a half,
//! so twice the bucket size is this router's full share.
RetryBudget::Bucket&
RetryBudget::Refill(const std::string& aService, TimePoint aNow)
{
  auto& bucket = m_buckets[aService];
  const double slack = LocalSlack();
  if (!bucket.initialized) {
    bucket.initialized = true;
    bucket.tokens = slack;
  } else {
    const auto elapsed =
      static_cast<double>((aNow - bucket.refilledAt).count());
    bucket.tokens += slack * elapsed / static_cast<double>(m_window.count());
  }
  bucket.refilledAt = aNow;
  bucket.tokens = std::min(bucket.tokens, slack);
  return bucket;
}

void
RetryBudget::CountRequest(const std::string& aService, TimePoint aNow)
{
  Refill(aService, aNow).tokens += m_ratio * kRetryBudgetRatio;
}

bool
RetryBudget::Allows(const std::string& aService, TimePoint aNow)
{
  return Refill(aService, aNow).tokens >= 1.0;
}

void
RetryBudget::Take(const std::string& aService, TimePoint aNow)
{
  Refill(aService, aNow).tokens -= 1.0;
}

}
