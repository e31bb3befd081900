#include "fleet/firsttokentime.h"
#include "fleetfixture.h"

#include <criterion/criterion.h>

#include <cmath>

//! How the time to a first token is learned.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr double kFixedMs = 110;
constexpr double kTokensPerMs = 70;

//! Prompt sizes of short and long requests by turns.
double
PromptOf(int aIndex)
{
  return aIndex % 3 == 0 ? 6000 : 400 + 50 * (aIndex % 7);
}

FirstTokenTime
LearnFrom(int aFirstTokens, double aFixedMs = kFixedMs)
{
  FirstTokenTime time;
  for (int i = 0; i < aFirstTokens; ++i) {
    time.Learn(PromptOf(i), aFixedMs + PromptOf(i) / kTokensPerMs);
  }
  return time;
}

}

//! The fixed part counted as slow prefill: a short prompt was predicted half as
//! long as it took, a long one twice.
Test(firsttokentime, AFixedPartIsToldFromThePrefillRate)
{
  const auto time = LearnFrom(100);
  cr_assert(
    std::abs(time.PredictMs(400) - 116) < 12, "%.0f", time.PredictMs(400));
  cr_assert(
    std::abs(time.PredictMs(6000) - 196) < 20, "%.0f", time.PredictMs(6000));
}

//! Waits for requests of other routers, which this one learns of late, looked
//! like a fixed time, and all the more was admitted.
Test(firsttokentime, UnknownWaitsAreNoNotableFixedTime)
{
  FirstTokenTime time;
  for (int i = 0; i < 200; ++i) {
    const double waitMs = i % 20 == 0 ? 0 : 90 + i % 60;
    time.Learn(PromptOf(i),
               kFirstTokenOverheadMs + waitMs + PromptOf(i) / kTokensPerMs);
    cr_assert(!time.HasNotableFixedTime());
  }
}

//! Engines without a fixed part are predicted as an engine step and prefill.
Test(firsttokentime, WithoutAFixedPartAnEngineStepIsPredicted)
{
  const auto time = LearnFrom(100, kFirstTokenOverheadMs);
  cr_assert(!time.HasNotableFixedTime());
  cr_assert(std::abs(time.FixedMs() - kFirstTokenOverheadMs) < 4);
}

Test(firsttokentime, FewFirstTokensOfOneSizeKeepThePredictionsWithinBounds)
{
  FirstTokenTime time;
  for (int i = 0; i < 5; ++i) {
    time.Learn(500, 130);
    cr_assert(time.TokensPerMs() >= kMinPrefillRate);
    cr_assert(time.TokensPerMs() <= kMaxPrefillRate);
    cr_assert(time.FixedMs() >= 0 && time.FixedMs() <= 130);
  }
}

//! A first token that came after ten seconds made all predictions seconds long.
Test(firsttokentime, AnOutlierChangesPredictionsLittle)
{
  auto time = LearnFrom(100);
  const double before = time.PredictMs(2000);
  time.Learn(2000, 10000);
  cr_assert(time.PredictMs(2000) < 1.1 * before);
}

Test(firsttokentime, AChangeOfSpeedIsFollowed)
{
  auto time = LearnFrom(200);
  for (int i = 0; i < 400; ++i) {
    time.Learn(PromptOf(i), 2 * (kFixedMs + PromptOf(i) / kTokensPerMs));
  }
  cr_assert(time.PredictMs(2000) > 1.7 * (kFixedMs + 2000 / kTokensPerMs));
}

//! A router sees few first tokens of each engine. Slow engines got as many
//! requests as fast ones, since their speeds were learned too slowly.
Test(firsttokentime, FewFirstTokensTellASlowEngine)
{
  EngineSlowness slowness;
  for (int i = 0; i < 4; ++i) {
    slowness.Learn(150, 150 / 0.6);
  }
  cr_assert(slowness.Factor() > 1.35, "%.2f", slowness.Factor());
}

//! The fixed part is no wait for other requests. It exceeds the tenth of the
//! target that a request beyond its share may wait for others, so idle engines
//! refused all of these.
Test(firsttokentime, TheFixedPartIsNoWaitForOthers)
{
  AdmissionInput input;
  input.target = 600ms;
  input.timeLeft = 5000ms;
  input.insideShare = false;
  input.predictedMs = kFixedMs + 30;
  input.ownPrefillMs = kFixedMs - kFirstTokenOverheadMs + 20;
  cr_assert(Admit(input).admitted);
}
