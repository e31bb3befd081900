#include "fleet/fleetconstants.h"
#include "fleet/storeera.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr TimePoint kNow{ 100000 };

}

Test(storeera, TheEraThatARouterFindsAtItsStartIsSettled)
{
  StoreEra era;
  cr_assert(era.Seen(7, kNow));
  cr_assert(era.IsSettled(kNow));
  cr_assert(!era.Age(kNow));
}

Test(storeera, ANewEraIsSettledOnceWhatWasLostIsWrittenAgain)
{
  StoreEra era;
  era.Seen(7, kNow);
  cr_assert(era.Seen(8, kNow + 10ms));
  cr_assert(!era.IsSettled(kNow + kRewriteGrace));
  cr_assert(era.IsSettled(kNow + 10ms + kRewriteGrace));
  cr_assert(*era.Age(kNow + 110ms) == 100ms);
  cr_assert(!era.Age(kNow + 11ms + kEraTold));
}

Test(storeera, AnAnswerOfAnEarlierEraIsNotTaken)
{
  StoreEra era;
  era.Seen(8, kNow);
  cr_assert(!era.Seen(7, kNow + 10ms));
  cr_assert(era.Era() == 8);
}

//! A router that never read the store before turns to it after the return.
Test(storeera, WhatOthersSawBeginIsNotSettledForOneThatReadsLater)
{
  StoreEra era;
  era.Told(8, 300ms, kNow);
  cr_assert(era.Seen(8, kNow));
  cr_assert(!era.IsSettled(kNow));
  cr_assert(era.IsSettled(kNow - 300ms + kRewriteGrace));
  era.Told(8, 800ms, kNow); // someone saw it sooner
  cr_assert(era.SettledAt() == kNow - 800ms + kRewriteGrace);
  era.Told(7, 100ms, kNow);
  cr_assert(era.Era() == 8);
}
