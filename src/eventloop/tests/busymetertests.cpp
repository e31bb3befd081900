#include "eventloop/busymeter.h"

#include <criterion/criterion.h>

using namespace hemlockgauge::eventloop;
using namespace std::chrono_literals;

//! A restarted process finds callers waiting at its first poll.
Test(busymeter, CountsFromConstructionNotFromClockZero)
{
  BusyMeter meter(5000ms);
  cr_assert(meter.BusyFor() == 0ms);
  meter.RecordPoll(true, 5010ms);
  cr_assert(meter.BusyFor() == 10ms);
}

Test(busymeter, EmptyPollResetsBusyTime)
{
  BusyMeter meter(900ms);
  meter.RecordPoll(true, 1000ms);
  meter.RecordPoll(false, 1010ms);
  cr_assert(meter.BusyFor() == 0ms);
  meter.RecordPoll(true, 1015ms);
  cr_assert(meter.BusyFor() == 5ms);
}

//! Overload: each poll finds more events, in iterations of 25 ms.
Test(busymeter, GrowsUnderOverloadUntilAPollFindsNothing)
{
  BusyMeter meter(900ms);
  meter.RecordPoll(false, 1000ms);
  auto now = 1000ms;
  for (int round = 0; round < 8; ++round) {
    now += 25ms;
    meter.RecordPoll(true, now);
  }
  cr_assert(meter.BusyFor() == 200ms);
  meter.RecordPoll(false, now + 1ms);
  cr_assert(meter.BusyFor() == 0ms);
}

//! After a pause of the process the first poll finds the events that
//! arrived during the pause.
Test(busymeter, PauseOfTheProcessCountsAsBusy)
{
  BusyMeter meter(900ms);
  meter.RecordPoll(false, 1000ms);
  meter.RecordPoll(true, 4000ms);
  cr_assert(meter.BusyFor() == 3000ms);
}
