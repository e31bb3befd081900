#include "fleet/statedloads.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

using namespace std::chrono_literals;

constexpr UpstreamId kUpstream{ 1 };
constexpr std::uint32_t kSlots = 8;
//! Statement that the tests record at 1000 ms, with 2 own requests.
constexpr StatedLoad kLoad{ 6, 0, kSlots, 1 };

StatedLoads
WithStatement(const StatedLoad& aLoad = kLoad)
{
  StatedLoads loads;
  cr_assert(loads.Record(kUpstream, aLoad, kSlots, 2, 1000ms));
  return loads;
}

bool
IsNear(double aValue, double aExpected)
{
  return std::abs(aValue - aExpected) < 1e-6;
}

constexpr std::size_t kRouters = 20;

//! These routers send 100 requests within 150 ms, before any report shows
//! them. Eleven upstreams have 6 requests, and upstream 0 has none. Returns the
//! number of requests at upstream 0 afterwards.
std::uint32_t
RequestsAtIdleUpstream(bool aUsesStatements)
{
  constexpr std::size_t kUpstreams = 12;
  using Loads = std::array<std::uint32_t, kUpstreams>;
  constexpr Loads kReported{ 0, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6 };
  auto totals = kReported;
  std::array<Loads, kRouters> ownLoads{};
  std::array<StatedLoads, kRouters> statedLoads;
  for (std::size_t step = 0; step < 100; ++step) {
    const TimePoint now = 1000ms + Duration(step * 3 / 2);
    auto& own = ownLoads[step % kRouters];
    auto& stated = statedLoads[step % kRouters];
    std::size_t best = 0;
    double fewest = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      const auto known =
        stated.Requests(UpstreamId(i), own[i], kReported[i], now - 150ms, now);
      if (known.requests < fewest) {
        fewest = known.requests;
        best = i;
      }
    }
    own[best]++;
    const auto total = ++totals[best];
    const auto running = std::min(total, kSlots);
    if (aUsesStatements) {
      const StatedLoad load{ running, total - running, kSlots, 1 };
      stated.Record(UpstreamId(best), load, kSlots, own[best], now);
    }
  }
  return totals[0];
}

}

//! A false statement must not hide an upstream's real load or attract requests.
Test(statedloads, StatementsThatCannotBeTrueAreRejected)
{
  constexpr auto kNan = std::numeric_limits<double>::quiet_NaN();
  const StatedLoad bad[]{ { 0, 0, 0, 1 },  { 0, 0, 9, 1 },    { 9, 0, 8, 1 },
                          { 5, 0, 4, 1 },  { 8, 513, 8, 1 },  { 8, 0, 8, 0.04 },
                          { 8, 0, 8, 51 }, { 8, 0, 8, kNan }, { 8, 0, 8, -1 },
                          { 8, ~0U, 8, 1 } };
  auto loads = WithStatement();
  for (const auto& load : bad) {
    cr_assert(!loads.Record(kUpstream, load, kSlots, 2, 1001ms));
  }
  cr_assert(IsNear(loads.Requests(kUpstream, 2, 0, 900ms, 1002ms).requests, 6),
            "the earlier statement stays");
  for (const double slowdown : { 0.05, 50.0 }) {
    cr_assert(
      loads.Record(kUpstream, { 8, 512, 8, slowdown }, kSlots, 2, 1001ms));
  }
}

//! Guards against use of older reports while a newer statement is known, and
//! against ignoring what this router sent since.
Test(statedloads, AStatementNewerThanTheReportsIsCorrectedByOwnRequests)
{
  const auto loads = WithStatement();
  const auto requests = [&](std::uint32_t aOwn) {
    return loads.Requests(kUpstream, aOwn, 100, 1000ms, 1100ms);
  };
  cr_assert(IsNear(requests(2).requests, 6) && requests(2).isStated);
  cr_assert(IsNear(requests(5).requests, 9));
  cr_assert(IsNear(requests(5).waiting, 1), "9 requests, 8 slots");
  cr_assert(IsNear(requests(0).requests, 4));
  cr_assert(IsNear(requests(0).waiting, 0));
  const auto early = loads.Requests(kUpstream, 2, 9, TimePoint::min(), 999ms);
  cr_assert(IsNear(early.requests, 6), "no reports, and a loop time before it");
}

//! Requests may wait while slots are free, for lack of KV cache.
Test(statedloads, NewRequestsWaitBehindWaitingOnes)
{
  const auto loads = WithStatement({ 5, 3, kSlots, 1 });
  const auto more = loads.Requests(kUpstream, 4, 0, 900ms, 1100ms);
  cr_assert(IsNear(more.requests, 10) && IsNear(more.waiting, 5));
  const auto fewer = loads.Requests(kUpstream, 0, 0, 900ms, 1100ms);
  cr_assert(IsNear(fewer.requests, 6) && IsNear(fewer.waiting, 1));
}

//! Guards against a jump of the assumed load when reports become newer than the
//! statement, or when it expires, and against counting requests twice.
Test(statedloads, ReportsReplaceAnOlderStatementLinearly)
{
  const auto loads = WithStatement(); // 6 stated, 2 + 14 reported
  const auto at = [&](Duration aAge) {
    const TimePoint now = 1000ms + aAge;
    return loads.Requests(kUpstream, 2, 14, now - 200ms, now);
  };
  cr_assert(IsNear(at(200ms).requests, 6));
  cr_assert(IsNear(at(400ms).requests, 8.5));
  cr_assert(IsNear(at(600ms).requests, 11));
  cr_assert(IsNear(at(600ms).waiting, 4), "half of 16 requests less 8 slots");
  cr_assert(at(999ms).requests > 15.9 && at(999ms).requests < 16);
  cr_assert(IsNear(at(1000ms).requests, 16) && !at(1000ms).isStated);
}

//! Services whose upstreams state no load are served as before. An upstream
//! that restarted has a new id, so its predecessor's load does not apply.
Test(statedloads, WithoutAStatementTheRoutersRequestsAreAddedUp)
{
  const auto loads = WithStatement();
  const auto other = loads.Requests(UpstreamId{ 2 }, 3, 4, 900ms, 1000ms);
  cr_assert(IsNear(other.requests, 7) && IsNear(other.waiting, 0));
  cr_assert(!other.isStated);
  cr_assert(loads.Slowdown(UpstreamId{ 2 }, 1000ms) == 1);
}

//! The slowdown changes many times a second: an old one must not be used.
Test(statedloads, ASlowdownIsUsedForAShortTime)
{
  const auto loads = WithStatement({ 6, 0, kSlots, 2.5 });
  cr_assert(loads.Slowdown(kUpstream, 1099ms) == 2.5);
  cr_assert(loads.Slowdown(kUpstream, 1100ms) == 1);
}

//! Guards against unbounded growth as upstreams come and go.
Test(statedloads, ExpiredStatementsAreForgotten)
{
  auto loads = WithStatement();
  cr_assert(loads.Record(UpstreamId{ 2 }, kLoad, kSlots, 0, 1500ms));
  loads.Forget(1999ms);
  cr_assert(loads.Size() == 2);
  loads.Forget(2000ms);
  cr_assert(loads.Size() == 1);
  loads.Forget(2500ms);
  cr_assert(loads.Size() == 0);
}

//! Guards against routers that all send to the upstream that was idle in the
//! last reports until newer reports arrive.
Test(statedloads, PreventRequestsFromAccumulatingAtOneUpstream)
{
  const auto without = RequestsAtIdleUpstream(false);
  const auto with = RequestsAtIdleUpstream(true);
  // The answer to a router's first request there shows it the others' requests,
  // so it sends two at most.
  cr_assert(
    with <= 2 * kRouters && without >= 100, "%u, without %u", with, without);
}
