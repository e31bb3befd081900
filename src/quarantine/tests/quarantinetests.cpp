#include "quarantine/quarantine.h"

#include "quarantine/quarantineconstants.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace hemlockgauge;
using namespace hemlockgauge::quarantine;

namespace {

constexpr RequestFingerprint kCrashing{ 0xbad };

}

Test(quarantine, CrashThatAnotherRequestExplainsDoesNotCount)
{
  constexpr RequestFingerprint kHarmless{ 5 };
  Quarantine quarantine;
  for (std::uint32_t i = 1; i <= 4; ++i) {
    quarantine.Crashed(kCrashing, UpstreamId(i), 100ms);
  }
  for (std::uint32_t i = 1; i <= 3; ++i) {
    quarantine.Crashed(kHarmless, UpstreamId(i), 100ms);
  }
  cr_assert(quarantine.HeldFor(kCrashing, 0, 200ms).has_value());
  cr_assert(quarantine.Crashes(kHarmless) == 0);
  cr_assert(!quarantine.HeldFor(kHarmless, 0, 200ms));
}

//! Guards against a harmless request that hides the cause of crashes: it ran at
//! the same three upstreams and is reported first. Both are quarantined until a
//! fourth crash of the cause explains the crashes of the harmless one.
Test(quarantine, RequestWithTheSameCrashesIsReleasedByTheNextCrash)
{
  constexpr RequestFingerprint kHarmless{ 5 };
  Quarantine quarantine;
  for (std::uint32_t i = 1; i <= 3; ++i) {
    quarantine.Crashed(kHarmless, UpstreamId(i), 100ms);
  }
  for (std::uint32_t i = 1; i <= 3; ++i) {
    quarantine.Crashed(kCrashing, UpstreamId(i), 100ms);
  }
  cr_assert(quarantine.HeldFor(kCrashing, 0, 200ms).has_value());
  quarantine.Crashed(kCrashing, UpstreamId(4), 300ms);
  cr_assert(quarantine.HeldFor(kCrashing, 0, 400ms).has_value());
  cr_assert(!quarantine.HeldFor(kHarmless, 0, 400ms));
}

Test(quarantine, CompleteAnswerClearsARequestAtAllRouters)
{
  Quarantine here;
  Quarantine there;
  for (std::uint32_t i = 1; i <= 3; ++i) {
    here.Crashed(kCrashing, UpstreamId(i), 100ms);
  }
  const auto report = here.TellNews(200ms);
  there.Take(report, 205ms);
  cr_assert(there.HeldFor(kCrashing, 0, 300ms).has_value());
  there.EndedWell(kCrashing, 400ms);
  here.Take(there.TellNews(500ms), 505ms);
  cr_assert(!here.HeldFor(kCrashing, 0, 600ms));
  // A repeated report of the same crashes has no effect.
  here.Take(report, 610ms);
  cr_assert(!here.HeldFor(kCrashing, 0, 620ms));
}

Test(quarantine, RequestIsRefusedBrieflyWhileChecksArePending)
{
  Quarantine quarantine;
  quarantine.Crashed(kCrashing, UpstreamId(1), 100ms);
  cr_assert(!quarantine.HeldFor(kCrashing, 0, 200ms));
  cr_assert(!quarantine.HeldFor(kCrashing, 1, 200ms));
  cr_assert(*quarantine.HeldFor(kCrashing, 2, 200ms) == kUnsureFor);
}

//! Guards against unbounded state when hundreds of upstreams crash, each with
//! all requests that it ran. Quarantined requests have to stay quarantined.
Test(quarantine, StateIsBounded)
{
  Quarantine quarantine;
  for (std::uint32_t i = 1; i <= 3; ++i) {
    quarantine.Crashed(kCrashing, UpstreamId(i), 100ms);
  }
  for (std::uint64_t upstream = 10; upstream < 210; ++upstream) {
    for (std::uint64_t run = 0; run < 64; ++run) {
      const auto request = RequestFingerprint(upstream * 1000 + run);
      quarantine.Crashed(
        request, UpstreamId(static_cast<std::uint32_t>(upstream)), 200ms);
    }
  }
  cr_assert(quarantine.Suspects() <= kMostSuspects);
  cr_assert(quarantine.HeldFor(kCrashing, 0, 300ms).has_value());
  cr_assert(quarantine.TellNews(300ms).crashes.front().request == kCrashing);
  for (int i = 0; i < 20; ++i) {
    cr_assert(quarantine.TellNews(300ms).crashes.size() <= kMostCrashesTold);
    const auto inTurn = quarantine.TellInTurn(300ms);
    cr_assert(inTurn.crashes.front().request == kCrashing);
    cr_assert(inTurn.crashes.size() <= kMostCrashesTold);
  }
  quarantine.Tick(200ms + kCrashKept);
  cr_assert(quarantine.Suspects() == 0);
}

//! Guards against routers that disagree: reports may arrive late, repeatedly
//! and in any order, but have to lead to the same state.
Test(quarantine, StateDoesNotDependOnTheOrderOfReports)
{
  rc::check([] {
    const auto upstreams =
      *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(1U, 7U));
    std::vector<CrashNews> reports;
    for (const auto upstream : upstreams) {
      CrashNews report;
      report.crashes = { { kCrashing, UpstreamId(upstream), 50ms } };
      reports.push_back(report);
    }
    Quarantine forward;
    Quarantine backward;
    for (const auto& report : reports) {
      forward.Take(report, 1000ms);
      forward.Take(report, 1001ms);
    }
    std::reverse(reports.begin(), reports.end());
    for (const auto& report : reports) {
      backward.Take(report, 1000ms);
    }
    RC_ASSERT(forward.Crashes(kCrashing) == backward.Crashes(kCrashing));
    RC_ASSERT(forward.HeldFor(kCrashing, 0, 1002ms).has_value() ==
              backward.HeldFor(kCrashing, 0, 1002ms).has_value());
  });
}

Test(recentsuccesses, KeepsTheMostRecentSuccesses)
{
  RecentSuccesses successes;
  for (std::uint64_t i = 0; i <= kMostSuccessesKept; ++i) {
    successes.Add(RequestFingerprint(i), 10ms);
  }
  cr_assert(!successes.Last(RequestFingerprint(0)));
  cr_assert(successes.Last(RequestFingerprint(1)) == TimePoint(10));
}
