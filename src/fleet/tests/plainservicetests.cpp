#include "plainmodel.h"

#include "fleet/calllevels.h"
#include "fleet/fleetconstants.h"
#include "fleet/loadspread.h"

#include <criterion/criterion.h>

//! Calls of a plain service by many routers whose news of each other is old.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr std::uint32_t kSeed = 20261203;

}

//! Found on a large deployment: 295 routers saw the queues of eight upstreams a
//! quarter of a second late and all went to the shortest; half of the arrivals
//! were refused by full upstreams while others had places.
Test(plainservice, OldNewsFillsNoUpstreamWhileOthersHavePlaces)
{
  const auto result = PlayPlain(PlainLoad{}, kSeed);
  const double refused = result.PartOf(result.refusedByUpstream);
  const double inTime = result.PartOf(result.inTime);
  cr_assert(refused < 0.02, "%.3f", refused);
  cr_assert(inTime > 0.92, "%.3f", inTime);
}

//! The same, with more calls than can be run: what is too much is refused by
//! the routers, at once, and what can be run is run in time.
Test(plainservice, MoreCallsThanCanBeRunAreRefusedByTheRouters)
{
  PlainLoad load;
  load.perSecond = 1100;
  const double possible =
    load.upstreams * load.slots / load.serviceMs * 1000.0 / load.perSecond;
  const auto result = PlayPlain(load, kSeed);
  const double inTime = result.PartOf(result.inTime);
  const double refused = result.PartOf(result.refusedByUpstream);
  cr_assert(inTime > 0.85 * possible, "%.3f of %.3f", inTime, possible);
  cr_assert(refused < 0.03, "%.3f", refused);
}

//! Fresh news in a small fleet.
Test(plainservice, ASmallFleetServesAllThatFits)
{
  PlainLoad load;
  load.routers = 6;
  load.upstreams = 4;
  load.perSecond = 340;
  load.newsDelay = 2ms;
  const auto result = PlayPlain(load, kSeed);
  const double inTime = result.PartOf(result.inTime);
  cr_assert(inTime > 0.97, "%.3f", inTime);
}

Test(plainservice, WhatIsBusyAndAskedForMorePassesAPart)
{
  cr_assert_float_eq(PassingPart({ 100, 100 }, 0.5), 1.0, 1e-9);
  cr_assert_float_eq(PassingPart({ 0, 0 }, 0.0), 1.0, 1e-9);
  cr_assert_float_eq(PassingPart({ 200, 100 }, 1.0), kCallsUse / 2, 1e-9);
  cr_assert_float_eq(PassingPart({ 200, 0 }, 1.0), 0.0, 1e-9);
}

//! All its upstreams hung and answered nothing; their places are free again.
Test(plainservice, AServiceThatAnsweredNothingIsAskedAgain)
{
  const auto service = ServiceId(7);
  const CallRates unanswered{ { service, { 200, 0 } } };
  CallLevels levels;
  const auto passing = [&] {
    int passed = 0;
    for (std::uint64_t key = 0; key < 100; ++key) {
      passed += levels.Passes(service, key) ? 1 : 0;
    }
    return passed;
  };
  for (int i = 0; i < 100; ++i) {
    levels.Update({ { service, { 48, 48 } } }, unanswered);
  }
  cr_assert(passing() == 0);
  for (int i = 0; i < 10; ++i) {
    levels.Update({ { service, { 0, 48 } } }, unanswered);
  }
  cr_assert(passing() == 100);
}

Test(loadspread, WithoutUnseenWorkTheBestGetsAll)
{
  const auto parts = SpreadParts({ { 30, 1 }, { 10, 1 }, { 20, 5 } }, 0);
  cr_assert_float_eq(parts[0], 0.0, 1e-9);
  cr_assert_float_eq(parts[1], 1.0, 1e-9);
  cr_assert_float_eq(parts[2], 0.0, 1e-9);
}

//! 10 and 20 are filled to 25 by 15 + 5 of work; 30 is left out.
Test(loadspread, UnseenWorkFillsTheLowestFirst)
{
  const auto parts = SpreadParts({ { 30, 1 }, { 10, 1 }, { 20, 1 } }, 20.0 / 3);
  cr_assert_float_eq(parts[0], 0.0, 1e-9);
  cr_assert_float_eq(parts[1], 0.75, 1e-9);
  cr_assert_float_eq(parts[2], 0.25, 1e-9);
}

Test(loadspread, AFasterOneGetsMoreAndDrawsFollowTheParts)
{
  const auto parts = SpreadParts({ { 0, 3 }, { 0, 1 } }, 100);
  cr_assert_float_eq(parts[0], 0.75, 1e-9);
  constexpr std::uint32_t kDraws = 4000;
  double first = 0;
  for (std::uint32_t i = 0; i < kDraws; ++i) {
    first += DrawByParts(parts, base::HashPair(i, 1)) == 0 ? 1.0 : 0.0;
  }
  cr_assert_float_eq(first / kDraws, 0.75, 0.03);
  cr_assert(DrawByParts({ 1.0, 0.0 }, ~std::uint64_t{ 0 }) == 0);
}
