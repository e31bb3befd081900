#include "plainmodel.h"

#include "fleet/callthrottle.h"
#include "fleet/fleetconstants.h"
#include "fleet/loadspread.h"

#include <criterion/criterion.h>

#include <algorithm>

//! Calls of a plain service through many routers that learn of each other's
//! load late.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr std::uint32_t kSeed = 20261203;

}

//! 295 routers saw the queues of eight upstreams a quarter of a second late,
//! and all chose the shortest. Full upstreams refused half of the calls while
//! others had free slots.
Test(plainservice, OutdatedReportsOverloadNoUpstreamWhileOthersHaveSlots)
{
  const auto result = SimulatePlainLoad(PlainLoad{}, kSeed);
  const double refused = result.RatioOf(result.refusedByUpstream);
  const double inTime = result.RatioOf(result.inTime);
  cr_assert(refused < 0.02, "ratio refused by upstreams: %.3f", refused);
  cr_assert(inTime > 0.92, "ratio answered in time: %.3f", inTime);
}

//! The same routers with more calls than the upstreams can run. The routers
//! refuse the excess at once, and what can be run is answered in time.
Test(plainservice, CallsBeyondTheCapacityAreRefusedByTheRouters)
{
  PlainLoad load;
  load.callsPerSecond = 1100;
  const double possible = load.upstreams * load.slots / load.meanServiceMs *
                          1000.0 / load.callsPerSecond;
  const auto result = SimulatePlainLoad(load, kSeed);
  const double inTime = result.RatioOf(result.inTime);
  const double refused = result.RatioOf(result.refusedByUpstream);
  cr_assert(inTime > 0.85 * possible,
            "ratio answered in time: %.3f, at most %.3f",
            inTime,
            possible);
  cr_assert(refused < 0.03, "ratio refused by upstreams: %.3f", refused);
}

//! A small fleet, in which reports arrive within 2 ms.
Test(plainservice, ASmallFleetServesAllThatFits)
{
  PlainLoad load;
  load.routers = 6;
  load.upstreams = 4;
  load.callsPerSecond = 340;
  load.reportDelay = 2ms;
  const auto result = SimulatePlainLoad(load, kSeed);
  const double inTime = result.RatioOf(result.inTime);
  cr_assert(inTime > 0.97, "ratio answered in time: %.3f", inTime);
}

namespace {

//! Expects at least half of the calls that can be run to be answered in time,
//! and none to reach an upstream within a pause.
void
ExpectServiceDespitePauses(std::size_t aMaxQueued)
{
  PlainLoad load;
  load.routers = 6;
  load.upstreams = 4;
  load.reportDelay = 2ms;
  load.patience = 500ms;
  load.maxQueued = aMaxQueued;
  for (const int callsPerSecond : { 340, 480 }) {
    for (const auto retryAfter : { 1000ms, 3000ms }) {
      load.callsPerSecond = callsPerSecond;
      load.retryAfter = retryAfter;
      const double possible =
        std::min(1.0,
                 load.upstreams * load.slots / load.meanServiceMs * 1000.0 /
                   load.callsPerSecond);
      const auto result = SimulatePlainLoad(load, kSeed);
      const double inTime = result.RatioOf(result.inTime);
      cr_expect(inTime > 0.5 * possible,
                "%d/s, pauses of %d ms, queues of %zu: ratio answered in time "
                "%.3f, at most %.3f",
                callsPerSecond,
                static_cast<int>(retryAfter.count()),
                aMaxQueued,
                inTime,
                possible);
      cr_expect(result.withinPauses == 0);
    }
  }
}

}

//! Upstreams with short queues refuse requests with a Retry-After of seconds.
//! Each pause sent the load to the other upstreams, which refused requests in
//! turn: in a second all were paused, and the callers came back to the first
//! one all at once.
Test(plainservice, PausesOfFullUpstreamsDoNotStopTheService)
{
  ExpectServiceDespitePauses(6);
  ExpectServiceDespitePauses(24);
}

Test(plainservice, PausesOfUpstreamsWithQueuesOfTwoDoNotStopTheService)
{
  ExpectServiceDespitePauses(2);
}

//! The same in a fleet whose reports arrive late.
Test(plainservice, PausesDoNotStopALargeFleet)
{
  PlainLoad load;
  load.retryAfter = 3000ms;
  load.maxQueued = 6;
  load.patience = 500ms;
  const auto result = SimulatePlainLoad(load, kSeed);
  const double inTime = result.RatioOf(result.inTime);
  cr_assert(inTime > 0.5, "ratio answered in time: %.3f", inTime);
  cr_assert(result.withinPauses == 0);
}

//! In a large fleet few of a router's upstreams are paused at a time. Limits
//! that were learned from late reports must not keep calls from the others.
Test(plainservice, ARefusalCostsALargeFleetNoMoreThanItsPause)
{
  PlainLoad load;
  load.callsPerSecond = 680;
  load.retryAfter = 3000ms;
  load.maxQueued = 6;
  load.patience = 500ms;
  const auto result = SimulatePlainLoad(load, kSeed);
  const double inTime = result.RatioOf(result.inTime);
  cr_assert(inTime > 0.85, "ratio answered in time: %.3f", inTime);
  cr_assert(result.withinPauses == 0);
}

Test(plainservice, TheAdmittedRatioFollowsUtilisationAndAnswers)
{
  cr_assert_float_eq(AdmittedRatio({ 100, 100 }, 0.5), 1.0, 1e-9);
  cr_assert_float_eq(AdmittedRatio({ 0, 0 }, 0.0), 1.0, 1e-9);
  cr_assert_float_eq(
    AdmittedRatio({ 200, 100 }, 1.0), kMaxCallUtilisation / 2, 1e-9);
  cr_assert_float_eq(AdmittedRatio({ 200, 0 }, 1.0), 0.0, 1e-9);
}

//! All upstreams of a service hung and answered nothing. Once their slots are
//! free again, calls must be admitted.
Test(plainservice, AServiceThatAnsweredNothingIsCalledAgain)
{
  const auto service = ServiceId(7);
  const CallRates unanswered{ { service, { 200, 0 } } };
  CallThrottle throttle;
  const auto countPassing = [&] {
    int passed = 0;
    for (std::uint64_t key = 0; key < 100; ++key) {
      passed += throttle.Admits(service, key) ? 1 : 0;
    }
    return passed;
  };
  for (int i = 0; i < 100; ++i) {
    throttle.Update({ { service, { 48, 48 } } }, unanswered);
  }
  cr_assert(countPassing() == 0);
  for (int i = 0; i < 10; ++i) {
    throttle.Update({ { service, { 0, 48 } } }, unanswered);
  }
  cr_assert(countPassing() == 100);
}

Test(loadspread, WithoutUnreportedLoadTheCheapestOptionGetsEverything)
{
  const auto parts = SpreadWeights({ { 30, 1 }, { 10, 1 }, { 20, 5 } }, 0);
  cr_assert_float_eq(parts[0], 0.0, 1e-9);
  cr_assert_float_eq(parts[1], 1.0, 1e-9);
  cr_assert_float_eq(parts[2], 0.0, 1e-9);
}

//! Unreported load of 15 + 5 ms raises the costs 10 and 20 to 25. The option
//! that costs 30 gets nothing.
Test(loadspread, UnreportedLoadGoesToTheCheapestOptionsFirst)
{
  const auto parts =
    SpreadWeights({ { 30, 1 }, { 10, 1 }, { 20, 1 } }, 20.0 / 3);
  cr_assert_float_eq(parts[0], 0.0, 1e-9);
  cr_assert_float_eq(parts[1], 0.75, 1e-9);
  cr_assert_float_eq(parts[2], 0.25, 1e-9);
}

Test(loadspread, FasterOptionsGetMoreAndPicksFollowTheWeights)
{
  const auto parts = SpreadWeights({ { 0, 3 }, { 0, 1 } }, 100);
  cr_assert_float_eq(parts[0], 0.75, 1e-9);
  constexpr std::uint32_t kDraws = 4000;
  double firstPicks = 0;
  for (std::uint32_t i = 0; i < kDraws; ++i) {
    firstPicks += PickByWeight(parts, base::HashPair(i, 1)) == 0 ? 1.0 : 0.0;
  }
  cr_assert_float_eq(firstPicks / kDraws, 0.75, 0.03);
  cr_assert(PickByWeight({ 1.0, 0.0 }, ~std::uint64_t{ 0 }) == 0);
}
