#include "fleet/returnschedule.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

//! Retry times of refused requests. The requests in these tests cost 1 each
//! unless stated otherwise.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr Duration kTimeLeft{ 4000 };
constexpr Duration kLatest{ 1200 };
constexpr std::uint64_t kBurst = 500;

ReturnSchedule
WithRoom(double aCostPerMs)
{
  ReturnSchedule schedule;
  schedule.SetRoom(aCostPerMs);
  return schedule;
}

ReturnRequest
Refused(std::uint64_t aKey, bool aEntitled = true)
{
  return { 1, 0ms, kTimeLeft, aEntitled, 0ms, aKey };
}

//! Returns the number of retries that are refused again by upstreams that admit
//! a cost of aRoom per ms and refuse requests that would wait for over 100 ms.
std::size_t
RefusedAgain(const std::vector<Duration>& aRetries, double aRoom)
{
  auto sorted = aRetries;
  std::sort(sorted.begin(), sorted.end());
  double busyUntilMs = 0;
  std::size_t refused = 0;
  for (const auto at : sorted) {
    const auto atMs = static_cast<double>(at.count());
    if (busyUntilMs - atMs > 100) {
      ++refused;
    } else {
      busyUntilMs = std::max(busyUntilMs, atMs) + 1 / aRoom;
    }
  }
  return refused;
}

}

//! Guards against retries of one moment that are spread too little, or so late
//! that callers don't honour them, with and without a known room.
Test(returnschedule, RetriesOfABurstAreSpreadWithinTheSpan)
{
  for (const double room : { 0.0, 0.1, 0.45 }) {
    auto schedule = WithRoom(room);
    std::map<std::int64_t, std::size_t> perBucket;
    for (std::uint64_t i = 0; i < kBurst; ++i) {
      const auto delay = schedule.Assign(Refused(i), 1007ms);
      cr_assert(delay >= kMinRetryAfter && delay <= kLatest);
      ++perBucket[delay / 100ms];
    }
    for (std::int64_t i = 1; i < 11; ++i) {
      cr_assert(perBucket[i] >= 25 && perBucket[i] <= 65,
                "room %f, from %d ms: %zu",
                room,
                int(i) * 100,
                perBucket[i]);
    }
    cr_assert_float_eq(schedule.Scheduled(1007ms).entitled, kBurst, 1e-6);
  }
}

//! Guards against requests beyond their share that take the room of entitled
//! ones, also when there are too many of them for their part of the room.
Test(returnschedule, EntitledRequestsRetryBeforeOthers)
{
  auto schedule = WithRoom(0.2);
  Duration othersSum{ 0 };
  for (std::uint64_t i = 0; i < kBurst; ++i) {
    othersSum += schedule.Assign(Refused(i, false), 0ms);
  }
  cr_assert(schedule.Counts().beyondRoom > 0);
  Duration latestEntitled{ 0 };
  for (std::uint64_t i = 0; i < 20; ++i) {
    latestEntitled = std::max(latestEntitled, schedule.Assign(Refused(i), 0ms));
  }
  cr_assert(latestEntitled <= 220ms, "%d ms", int(latestEntitled.count()));
  cr_assert(othersSum / kBurst > 500ms);
}

//! Guards against a burst whose retries are refused again: simultaneous ones
//! are, spread ones of four routers that each use a quarter of the room aren't.
Test(returnschedule, SpreadRetriesOfABurstAreAdmitted)
{
  constexpr double kRoom = 0.5;
  std::vector<ReturnSchedule> routers(4, WithRoom(kRoom / 4));
  std::vector<Duration> spread;
  for (std::uint64_t i = 0; i < kBurst; ++i) {
    spread.push_back(routers[i % 4].Assign(Refused(i), 0ms));
  }
  const std::vector<Duration> simultaneous(kBurst, 400ms);
  cr_assert(RefusedAgain(simultaneous, kRoom) > kBurst / 2);
  cr_assert_eq(RefusedAgain(spread, kRoom), 0);
}

//! Guards against a wrong order of the limits when they conflict.
Test(returnschedule, TheLatestBucketLimitsThenEarliestThenTheTarget)
{
  const auto assign = [](Duration aEarliest, Duration aLeft, Duration aTarget) {
    return ReturnSchedule().Assign({ 1, aEarliest, aLeft, true, aTarget, 7 },
                                   5003ms);
  };
  cr_assert(assign(9000ms, kTimeLeft, 500ms) == kLatest);
  cr_assert(assign(300ms, kTimeLeft, 300ms) == 300ms);
  cr_assert(assign(300ms, kTimeLeft, 200ms) >= 300ms);
  cr_assert(assign(0ms, 60ms, 0ms) == kMinRetryAfter);
  cr_assert(assign(0ms, -5ms, 0ms) == kMinRetryAfter);
  cr_assert(assign(Duration::max(), Duration::max(), 0ms) == 5980ms);
  for (std::uint64_t i = 0; i < kBurst; ++i) {
    auto request = Refused(i);
    request.targetLeft = 200ms;
    cr_assert(WithRoom(0.001).Assign(request, 0ms) <= 200ms);
  }
}

//! Guards against long prompts that are scheduled in every bucket although each
//! of them takes several buckets to admit.
Test(returnschedule, ALargeRequestUsesTheRoomOfSeveralBuckets)
{
  auto schedule = WithRoom(1);
  auto request = Refused(1);
  request.cost = 110;
  cr_assert(schedule.Assign(request, 0ms) == 20ms);
  cr_assert(schedule.Assign(request, 0ms) == 130ms);
}

//! Guards against a bucket that rounding errors keep from ever being full, so
//! that all requests start in it.
Test(returnschedule, CostsThatDoNotAddUpExactlyFillBuckets)
{
  for (const double othersCost : { 0.001, 0.003, 0.007, 0.011, 0.013 }) {
    auto schedule = WithRoom(0.1);
    auto other = Refused(0, false);
    other.cost = othersCost;
    schedule.Assign(other, 0ms);
    std::map<std::int64_t, int> perBucket;
    for (std::uint64_t i = 0; i < 40; ++i) {
      auto request = Refused(i);
      request.cost = 0.7;
      ++perBucket[schedule.Assign(request, 0ms) / kReturnBucket];
    }
    for (const auto& [bucket, count] : perBucket) {
      cr_assert(count <= 3, "%d of cost 0.7 in a room of 2", count);
    }
  }
}

//! Guards against old costs that take room after a pause of the process, and
//! against a time before the latest one.
Test(returnschedule, BucketsInThePastAreDropped)
{
  auto schedule = WithRoom(0.1);
  for (std::uint64_t i = 0; i < kBurst; ++i) {
    schedule.Assign(Refused(i), 0ms);
  }
  cr_assert(schedule.Scheduled(600ms).entitled < kBurst);
  cr_assert_eq(schedule.Scheduled(6000ms).entitled, 0);
  cr_assert(schedule.Assign(Refused(1), 3600000ms) == kMinRetryAfter);
  cr_assert_eq(schedule.Scheduled(3600000ms).entitled, 1);
  cr_assert(schedule.Assign(Refused(2), 10ms) <= kLatest);
  cr_assert_eq(schedule.Scheduled(3600000ms).entitled, 2);
}

//! Guards against invalid numbers that take all the room for good.
Test(returnschedule, InvalidNumbersTakeNoRoom)
{
  constexpr double kInvalid[] = { -1,
                                  std::numeric_limits<double>::quiet_NaN(),
                                  std::numeric_limits<double>::infinity() };
  for (const double invalid : kInvalid) {
    auto schedule = WithRoom(invalid);
    schedule.Assign(Refused(1), 0ms);
    cr_assert_eq(schedule.Counts().roomUnknown, 1);
    schedule.SetRoom(1);
    auto request = Refused(2);
    request.cost = invalid;
    schedule.Assign(request, 0ms);
    cr_assert_eq(schedule.Scheduled(0ms).entitled, 1);
  }
}
