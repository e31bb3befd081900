#include "fleet/fleetconstants.h"
#include "fleet/storeera.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr TimePoint kNow{ 100000 };

}

Test(storeera, TheFirstEraThatARouterSeesIsSettled)
{
  StoreEra era;
  cr_assert(era.Observe(7, kNow));
  cr_assert(era.IsSettled(kNow));
  cr_assert(!era.Age(kNow));
}

Test(storeera, ANewEraIsSettledAfterTheRewriteGracePeriod)
{
  StoreEra era;
  era.Observe(7, kNow);
  cr_assert(era.Observe(8, kNow + 10ms));
  cr_assert(!era.IsSettled(kNow + kRewriteGracePeriod));
  cr_assert(era.IsSettled(kNow + 10ms + kRewriteGracePeriod));
  cr_assert(*era.Age(kNow + 110ms) == 100ms);
  cr_assert(!era.Age(kNow + 11ms + kEraReportTime));
}

Test(storeera, AnAnswerOfAnEarlierEraIsRejected)
{
  StoreEra era;
  era.Observe(8, kNow);
  cr_assert(!era.Observe(7, kNow + 10ms));
  cr_assert(era.Era() == 8);
}

//! A router learns from another one that a new era began, before it reads the
//! store for the first time.
Test(storeera, AnEraReportedByAnotherRouterSettlesFromWhenItBegan)
{
  StoreEra era;
  era.Learn(8, 300ms, kNow);
  cr_assert(era.Observe(8, kNow));
  cr_assert(!era.IsSettled(kNow));
  cr_assert(era.IsSettled(kNow - 300ms + kRewriteGracePeriod));
  era.Learn(8, 800ms, kNow); // another router saw the era begin earlier
  cr_assert(era.SettledAt() == kNow - 800ms + kRewriteGracePeriod);
  era.Learn(7, 100ms, kNow);
  cr_assert(era.Era() == 8);
}
