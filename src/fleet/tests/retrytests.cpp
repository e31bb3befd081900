#include "fleet/fleetconstants.h"
#include "fleet/retrypolicy.h"
#include "fleet/upstreamhealth.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

FailedAttempt
MakeFailedAttempt(CallKind aKind, bool aMayRunAgain, std::uint32_t aRun)
{
  FailedAttempt failed;
  failed.kind = aKind;
  failed.mayRunAgain = aMayRunAgain;
  failed.attemptsRun = aRun;
  failed.attemptsNotRun = aRun == 0 ? 1 : 0;
  failed.maxAttempts = 2;
  failed.timeLeft = 1000ms;
  return failed;
}

}

Test(upstreamhealth, ConsecutiveFailuresEjectForAWhileAndASuccessResets)
{
  UpstreamHealth health;
  cr_assert(!health.Failed(0ms, true));
  cr_assert(!health.Failed(1ms, true));
  cr_assert(health.Failed(2ms, true));
  cr_assert(health.IsEjected(3ms));
  cr_assert(!health.IsEjected(2ms + kMinEjectionTime));
  cr_assert(health.Failed(1000ms, true));
  cr_assert(health.IsEjected(1000ms + kMinEjectionTime));
  health.Succeeded(8000ms);
  cr_assert(!health.Failed(9000ms, true));
}

Test(upstreamhealth, FailuresDoNotEjectWhereEjectionIsNotAllowed)
{
  UpstreamHealth health;
  for (int i = 0; i < 10; ++i) {
    cr_assert(!health.Failed(0ms, false));
  }
  cr_assert(!health.IsEjected(0ms));
}

//! Upstreams accept no connections while all their callers reconnect at once.
//! They then got a fifth of the requests of others for 15 seconds and more,
//! since no request was sent to them that could have succeeded.
Test(upstreamhealth, TheFailureRatioDecaysWithoutRequests)
{
  UpstreamHealth health;
  for (int i = 0; i < 6; ++i) {
    health.Failed(0ms, false);
  }
  cr_assert(health.FailureRatio(0ms) * kFailurePenaltyMs > 2000);
  cr_assert(health.FailureRatio(5 * kFailureHalfLife) * kFailurePenaltyMs <
            100);
}

Test(retrypolicy, ARequestThatWasNeverSentIsRetriedWithoutBudget)
{
  auto failed = MakeFailedAttempt(CallKind::AtMostOnce, false, 0);
  failed.neverSent = true;
  failed.target = 600ms;
  failed.waited = 300ms;
  cr_assert(DecideAfterFailure(failed, false) == AfterFailure::Retry);
  failed.waited = 301ms; // a cut-off router must not hold its callers
  cr_assert(DecideAfterFailure(failed, false) == AfterFailure::AnswerNotRun);
  failed.waited = 0ms;
  failed.attemptsNotRun = kMaxNotRunAttempts;
  cr_assert(DecideAfterFailure(failed, false) == AfterFailure::AnswerNotRun);
}

Test(retrypolicy, ARequestThatMayHaveRunIsNotRetried)
{
  auto failed = MakeFailedAttempt(CallKind::AtMostOnce, false, 1);
  cr_assert(DecideAfterFailure(failed, true) == AfterFailure::AnswerUnknown);
  failed = MakeFailedAttempt(CallKind::Stream, false, 1);
  cr_assert(DecideAfterFailure(failed, true) == AfterFailure::AnswerUnknown);
  failed.answerBegun = true;
  cr_assert(DecideAfterFailure(failed, true) == AfterFailure::AbortAnswer);
}

Test(retrypolicy, ARequestThatDidNotRunIsRetriedOrAnsweredAsNotRun)
{
  auto failed = MakeFailedAttempt(CallKind::AtMostOnce, false, 0);
  cr_assert(DecideAfterFailure(failed, true) == AfterFailure::Retry);
  cr_assert(DecideAfterFailure(failed, false) == AfterFailure::AnswerNotRun);
  failed.attemptsNotRun = kMaxNotRunAttempts;
  cr_assert(DecideAfterFailure(failed, true) == AfterFailure::AnswerNotRun);
}

Test(retrypolicy, AResumableStreamIsRetriedAfterItsAnswerBegan)
{
  auto failed = MakeFailedAttempt(CallKind::Stream, true, 1);
  failed.answerBegun = true;
  cr_assert(DecideAfterFailure(failed, true) == AfterFailure::Retry);
  failed.attemptsRun = 2;
  cr_assert(DecideAfterFailure(failed, true) == AfterFailure::AbortAnswer);
  failed.attemptsRun = 1;
  failed.timeLeft = 10ms;
  cr_assert(DecideAfterFailure(failed, true) == AfterFailure::AbortAnswer);
}

//! For any number of routers and requests, no time window holds more retries
//! than the budget of the fleet allows.
Test(retrypolicy, RetriesStayWithinTheBudgetOfTheFleet)
{
  const bool held = rc::check([] {
    const auto routers = *rc::gen::inRange(1, 40);
    const double slack = *rc::gen::inRange(10, 100);
    std::vector<RetryBudget> budgets(static_cast<std::size_t>(routers));
    std::size_t rank = 0;
    for (auto& budget : budgets) {
      budget.Configure(0.2, slack, 10000ms);
      budget.SetRouters(budgets.size());
      budget.SetRank(rank++, budgets.size());
    }
    const auto requestsPerStep = *rc::gen::inRange(0, 4);
    std::vector<int> retries(200);
    for (int step = 0; step < 200; ++step) {
      const auto now = TimePoint(step * 100);
      for (auto& budget : budgets) {
        for (int i = 0; i < requestsPerStep; ++i) {
          budget.CountRequest("s", now);
        }
        while (budget.Allows("s", now)) {
          budget.Take("s", now);
          retries[static_cast<std::size_t>(step)]++;
        }
      }
    }
    const double allowed = 0.2 * requestsPerStep * routers * 100 + slack;
    for (int from = 0; from + 100 <= 200; ++from) {
      int sum = 0;
      for (int step = from; step < from + 100; ++step) {
        sum += retries[static_cast<std::size_t>(step)];
      }
      RC_ASSERT(sum <= allowed);
    }
  });
  cr_assert(held);
}

//! With more routers than spare retries, each router had less than one retry in
//! a window, and none ever retried.
Test(retrypolicy, ALargeFleetUsesItsBudget)
{
  for (const std::size_t routers : { 6, 300, 600, 1200 }) {
    const double slack = 640;
    int retries = 0;
    for (std::size_t rank = 0; rank < routers; ++rank) {
      RetryBudget budget;
      budget.Configure(0.2, slack, 10000ms);
      budget.SetRouters(routers);
      budget.SetRank(rank, routers);
      while (budget.Allows("s", 1000ms)) {
        budget.Take("s", 1000ms);
        retries++;
      }
    }
    const double share = kRetryBudgetRatio * slack;
    cr_assert(retries <= share && retries >= share - 6,
              "%d retries of %zu routers",
              retries,
              routers);
  }
}
