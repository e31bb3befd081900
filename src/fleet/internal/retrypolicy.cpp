#include "fleet/retrypolicy.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

AfterFailure
FinalAnswer(const FailedAttempt& aFailed)
{
  if (aFailed.answerBegun) {
    return AfterFailure::Cut;
  }
  return aFailed.attemptsRun == 0 ? AfterFailure::AnswerNotRun
                                  : AfterFailure::AnswerUnknown;
}

//! A router that is cut off from all upstreams must not hold its callers.
bool
IsFree(const FailedAttempt& aFailed)
{
  return aFailed.neverSent && aFailed.waited <= aFailed.target / 2;
}

}

AfterFailure
DecideAfterFailure(const FailedAttempt& aFailed, bool aBudgetAllows)
{
  const bool resumes = aFailed.kind == CallKind::Stream && aFailed.mayRunAgain;
  if (aFailed.answerBegun && !resumes) {
    return AfterFailure::Cut;
  }
  const bool mayTry = aBudgetAllows || IsFree(aFailed);
  if (!mayTry || aFailed.timeLeft < kRetryLeast) {
    return FinalAnswer(aFailed);
  }
  const bool nothingRan = aFailed.attemptsRun == 0;
  if (nothingRan) {
    return aFailed.attemptsNotRun < kMostNotRunAttempts ? AfterFailure::Retry
                                                        : FinalAnswer(aFailed);
  }
  const bool attemptLeft = aFailed.attemptsRun < aFailed.maxAttempts &&
                           aFailed.attemptsNotRun < kMostNotRunAttempts;
  return aFailed.mayRunAgain && attemptLeft ? AfterFailure::Retry
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
RetryBudget::SlackHere() const
{
  return m_slack * kRetryBudgetUse / static_cast<double>(m_routers);
}

//! The slack is refilled over one window, so that no window of that length
//! holds more than twice this router's part of it: with kRetryBudgetUse
//! that is the whole part.
RetryBudget::Account&
RetryBudget::Refill(const std::string& aService, TimePoint aNow)
{
  auto& account = m_accounts[aService];
  const double slack = SlackHere();
  if (!account.opened) {
    account.opened = true;
    account.tokens = slack;
  } else {
    const auto past = static_cast<double>((aNow - account.at).count());
    account.tokens += slack * past / static_cast<double>(m_window.count());
  }
  account.at = aNow;
  account.tokens = std::min(account.tokens, slack);
  return account;
}

void
RetryBudget::CountRequest(const std::string& aService, TimePoint aNow)
{
  Refill(aService, aNow).tokens += m_ratio * kRetryBudgetUse;
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
