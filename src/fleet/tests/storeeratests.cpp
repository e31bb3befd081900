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
  cr_assert(era.Seen(7, kNow));
  cr_assert(era.IsSettled(kNow));
  cr_assert(!era.Age(kNow));
}

Test(storeera, ANewEraIsSettledAfterTheRewriteGracePeriod)
{
  StoreEra era;
  era.Seen(7, kNow);
  cr_assert(era.Seen(8, kNow + 10ms));
  cr_assert(!era.IsSettled(kNow + kRewriteGrace));
  cr_assert(era.IsSettled(kNow + 10ms + kRewriteGrace));
  cr_assert(*era.Age(kNow + 110ms) == 100ms);
  cr_assert(!era.Age(kNow + 11ms + kEraTold));
}

Test(storeera, AnAnswerOfAnEarlierEraIsRejected)
{
  StoreEra era;
  era.Seen(8, kNow);
  cr_assert(!era.Seen(7, kNow + 10ms));
  cr_assert(era.Era() == 8);
}

//! A router learns from another one that a new era began, before it reads the
//! store for the first time.
Test(storeera, AnEraReportedByAnotherRouterSettlesFromWhenItBegan)
{
  StoreEra era;
  era.Told(8, 300ms, kNow);
  cr_assert(era.Seen(8, kNow));
  cr_assert(!era.IsSettled(kNow));
  cr_assert(era.IsSettled(kNow - 300ms + kRewriteGrace));
  era.Told(8, 800ms, kNow); // another router saw the era begin earlier
  cr_assert(era.SettledAt() == kNow - 800ms + kRewriteGrace);
  era.Told(7, 100ms, kNow);
  cr_assert(era.Era() == 8);
}
