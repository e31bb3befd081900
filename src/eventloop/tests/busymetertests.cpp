#include "eventloop/busymeter.h"

#include <criterion/criterion.h>

using namespace hemlockgauge::eventloop;
using namespace std::chrono_literals;

//! A process that starts anew finds its callers waiting.
Test(busymeter, ItCountsFromItsStartNotFromTheClocksZero)
{
  BusyMeter meter(5000ms);
  cr_assert(meter.BusyFor() == 0ms);
  meter.Looked(true, 5010ms);
  cr_assert(meter.BusyFor() == 10ms);
}

Test(busymeter, ALoopThatFindsNothingHasRested)
{
  BusyMeter meter(900ms);
  meter.Looked(true, 1000ms);
  meter.Looked(false, 1010ms);
  cr_assert(meter.BusyFor() == 0ms);
  meter.Looked(true, 1015ms);
  cr_assert(meter.BusyFor() == 5ms);
}

//! A flood: each look finds more, in rounds of 25 ms.
Test(busymeter, UnderAFloodItGrowsUntilTheLoopHasCaughtUp)
{
  BusyMeter meter(900ms);
  meter.Looked(false, 1000ms);
  auto now = 1000ms;
  for (int round = 0; round < 8; ++round) {
    now += 25ms;
    meter.Looked(true, now);
  }
  cr_assert(meter.BusyFor() == 200ms);
  meter.Looked(false, now + 1ms);
  cr_assert(meter.BusyFor() == 0ms);
}

//! A process that stood still finds what came meanwhile.
Test(busymeter, AStandstillCountsAsBusy)
{
  BusyMeter meter(900ms);
  meter.Looked(false, 1000ms);
  meter.Looked(true, 4000ms);
  cr_assert(meter.BusyFor() == 3000ms);
}
