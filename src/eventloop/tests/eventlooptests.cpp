#include "base/monotonicclock.h"
#include "eventloop/eventloop.h"

#include <criterion/criterion.h>

#include <stdexcept>
#include <vector>

using namespace hemlockgauge;
using namespace hemlockgauge::eventloop;
using namespace std::chrono_literals;

//! A task is called at the times that it asks for itself, and the loop sleeps
//! in between.
Test(eventloop, ASelfTimedTaskSetsTheTimeOfItsNextCall)
{
  EventLoop loop;
  const auto start = base::MonotonicNow();
  std::vector<base::TimePoint> calls;
  int rounds = 0;
  loop.ScheduleSelfTimed(start + 10ms, [&] {
    calls.push_back(loop.Now());
    if (calls.size() == 3) {
      loop.Stop();
    }
    return loop.Now() + (calls.size() == 1 ? 5ms : 60ms);
  });
  while (calls.size() < 3) {
    loop.RunOnce();
    rounds++;
  }
  cr_assert(calls[0] >= start + 10ms);
  cr_assert(calls[1] >= calls[0] + 5ms);
  cr_assert(calls[2] >= calls[1] + 60ms);
  cr_assert(rounds <= 12, "%d iterations for three calls", rounds);
}

//! An exception ends what its callback was doing, and nothing else.
Test(eventloop, ACallbackThatThrowsDoesNotEndTheLoop)
{
  EventLoop loop;
  int periodic = 0;
  int selfTimed = 0;
  bool deferred = false;
  loop.SchedulePeriodic(2ms, [&] {
    periodic++;
    throw std::runtime_error("periodic");
  });
  loop.ScheduleSelfTimed(base::MonotonicNow(), [&]() -> base::TimePoint {
    selfTimed++;
    throw std::runtime_error("self-timed");
  });
  loop.Defer([] { throw std::runtime_error("deferred"); });
  loop.Defer([&] { deferred = true; });
  while (periodic < 3 || selfTimed < 2) {
    loop.RunOnce();
  }
  cr_assert(deferred);
  cr_assert(loop.CallbackFailures() >= 6);
}
