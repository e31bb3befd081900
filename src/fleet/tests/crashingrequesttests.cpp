#include "crashingfleet.h"
#include "fleet/fleetconstants.h"
#include "quarantine/quarantineconstants.h"

#include <criterion/criterion.h>

#include <algorithm>

//! Requests under which upstreams crash, and those that were beside them.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;
using namespace hemlockgauge::quarantine;

namespace {

constexpr RequestFingerprint kCrashing{ 0xbad };
//! What routers need to hear of each other and act on it.
constexpr Duration kInTouch{ 3000 };
constexpr std::size_t kCrashesAllowed = 3;

//! Comes to the routers by turns.
void
ComeByTurns(CrashingFleet& aFleet, Duration aFrom, Duration aTo, Duration aGap)
{
  const auto start = aFleet.Now();
  std::size_t turn = 0;
  for (auto at = aFrom; at < aTo; at += aGap) {
    aFleet.Routers().Later(start + at, [&aFleet, turn] {
      aFleet.ComeCrashing(turn % aFleet.Routers().Size(), kCrashing);
    });
    turn++;
  }
}

//! Sends of the crashing request after its third crash and the time in which
//! routers hear of it.
std::size_t
SendsTooLate(const CrashingFleet& aFleet)
{
  if (aFleet.Crashes().size() < kCrashesAllowed) {
    return 0;
  }
  const auto limit = aFleet.Crashes()[kCrashesAllowed - 1] + kInTouch;
  return static_cast<std::size_t>(
    std::count_if(aFleet.CrashingSends().begin(),
                  aFleet.CrashingSends().end(),
                  [&](TimePoint aAt) { return aAt > limit; }));
}

}

// Six routers got the same request by turns, in waves, each time under a new
// id; 25 and 33 engines ended under two such requests, eight and seven of them
// long after the third. A router that was sent the request knew nothing of its
// runs at the others, so the fourth engine was as likely as the first: at
// 44.5 s one router logs why=broken-in-answer for it, and at 44.9, 45.1 and
// 45.8 s three others place it anew, attempts=2 each.
Test(quarantine, ARequestThatCrashedThreeUpstreamsGoesToNoMore)
{
  CrashingFleet fleet(6, 18);
  ComeByTurns(fleet, 500ms, 3500ms, 150ms);
  ComeByTurns(fleet, 8000ms, 11000ms, 150ms);
  ComeByTurns(fleet, 30000ms, 33000ms, 150ms);
  fleet.Run(35000ms);
  cr_assert(fleet.Crashes().size() >= kCrashesAllowed);
  cr_assert(
    SendsTooLate(fleet) == 0, "%zu sends too late", SendsTooLate(fleet));
  cr_assert(
    fleet.Crashes().size() <= 8, "%zu engines crashed", fleet.Crashes().size());
}

//! A router that starts, and one that others could not reach meanwhile, get it
//! as well.
Test(quarantine, RoutersThatStartOrWereCutOffHoldItToo)
{
  CrashingFleet fleet(6, 18);
  fleet.Routers().CutOff(5, true);
  const auto start = fleet.Now();
  for (int i = 0; i < 20; ++i) {
    fleet.Routers().Later(start + 500ms + i * 150ms, [&fleet, i] {
      fleet.ComeCrashing(static_cast<std::size_t>(i) % 5, kCrashing);
    });
  }
  fleet.Run(20000ms);
  const auto sends = fleet.CrashingSends().size();
  fleet.Routers().CutOff(5, false);
  const auto started = fleet.StartRouter();
  fleet.Run(22000ms);
  fleet.ComeCrashing(5, kCrashing);
  fleet.ComeCrashing(started, kCrashing);
  fleet.Run(24000ms);
  cr_assert(fleet.CrashingSends().size() == sends);
}

//! The load: engines crash under one request, and by themselves, while ordinary
//! requests run beside it and come again when they broke off.
Test(quarantine, WhatRanBesideCrashesKeepsItsService)
{
  CrashingFleet fleet(6, 18);
  ComeByTurns(fleet, 500ms, 3500ms, 150ms);
  ComeByTurns(fleet, 8000ms, 11000ms, 150ms);
  const auto start = fleet.Now();
  const int all = 3000;
  for (int i = 0; i < all; ++i) {
    fleet.Routers().Later(start + i * 5ms, [&fleet, i] {
      const auto request =
        RequestFingerprint(1000000 + static_cast<std::uint64_t>(i));
      fleet.Come(static_cast<std::size_t>(i) % 6, request, 400ms);
    });
  }
  for (int i = 0; i < 12; ++i) {
    fleet.Routers().Later(start + 1000ms + i * 1100ms,
                          [&fleet] { fleet.Crash(fleet.Engines().front()); });
  }
  fleet.Run(20000ms);
  cr_assert(fleet.Refused() == 0, "%d refused", fleet.Refused());
  cr_assert(fleet.Served() == all, "%d of %d", fleet.Served(), all);
}

//! The load: many callers send one sound request alike, so copies of it run on
//! all engines when a third of these ends at once.
Test(quarantine, ASoundRequestThatRunsEverywhereIsNotBlamed)
{
  CrashingFleet fleet(6, 18);
  const auto start = fleet.Now();
  for (int i = 0; i < 2000; ++i) {
    fleet.Routers().Later(start + i * 5ms, [&fleet, i] {
      fleet.Come(
        static_cast<std::size_t>(i) % 6, RequestFingerprint(77), 400ms);
    });
  }
  fleet.Routers().Later(start + 4000ms, [&fleet] {
    const auto engines = fleet.Engines();
    for (std::size_t i = 0; i < engines.size() / 3; ++i) {
      fleet.Crash(engines[i]);
    }
  });
  fleet.Run(12000ms);
  cr_assert(fleet.Refused() == 0, "%d refused", fleet.Refused());
}

Test(quarantine, AfterAWhileItIsTriedAndOneCrashIsEnough)
{
  CrashingFleet fleet(3, 18);
  ComeByTurns(fleet, 500ms, 3500ms, 150ms);
  fleet.Run(5000ms);
  const auto sends = fleet.CrashingSends().size();
  fleet.ComeCrashing(0, kCrashing);
  fleet.Run(6000ms);
  cr_assert(fleet.CrashingSends().size() == sends);
  fleet.Run(5000ms + kQuarantineTime);
  fleet.ComeCrashing(1, kCrashing);
  fleet.Run(6000ms + kQuarantineTime);
  const auto tried = fleet.CrashingSends().size();
  cr_assert(tried > sends);
  for (std::size_t router = 0; router < 3; ++router) {
    fleet.ComeCrashing(router, kCrashing);
  }
  fleet.Run(9000ms + kQuarantineTime);
  cr_assert(fleet.CrashingSends().size() == tried);
}
