#include "fleet/returnschedule.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::fleet {

namespace {

//! Makes this draw independent of other hashes of the same key.
constexpr std::uint32_t kDrawSeed = 0x52e7;
//! Room below this ratio is a rounding error. It could never be filled, and all
//! requests would start in its bucket.
constexpr double kNegligibleRoomRatio = 1e-9;
//! The latest Retry-After for which the ring has a bucket at any time.
constexpr Duration kMaxReturnDelay =
  kReturnBucket * static_cast<std::int64_t>(kReturnBuckets - 1);

std::int64_t
BucketAt(TimePoint aTime)
{
  return aTime / kReturnBucket;
}

std::size_t
RingIndex(std::int64_t aBucket)
{
  return static_cast<std::size_t>(aBucket) % kReturnBuckets;
}

//! Returns the number of the last bucket of the ring.
std::int64_t
LastBucket(TimePoint aNow)
{
  return BucketAt(aNow) + static_cast<std::int64_t>(kReturnBuckets) - 1;
}

double
ValidOrZero(double aValue)
{
  return std::isfinite(aValue) ? std::max(aValue, 0.0) : 0.0;
}

Duration
LatestReturn(Duration aTimeLeft)
{
  const double latestMs =
    kMaxRetryAfterRatio * static_cast<double>(aTimeLeft.count());
  const auto maxMs = static_cast<double>(kMaxReturnDelay.count());
  return Duration(static_cast<std::int64_t>(std::min(latestMs, maxMs)));
}

}

void
ReturnSchedule::SetRoom(double aCostPerMs)
{
  m_bucketRoom = ValidOrZero(aCostPerMs * kReturnBucket.count());
}

Duration
ReturnSchedule::Assign(const ReturnRequest& aRequest, TimePoint aNow)
{
  Advance(aNow);
  // The caller does not retry after a delay that it does not honour.
  if (LatestReturn(aRequest.timeLeft) < kMinRetryAfter) {
    ++m_counts.tooLate;
    return kMinRetryAfter;
  }
  const auto span = AllowedSpan(aRequest);
  const auto at = Place(aRequest, ValidOrZero(aRequest.cost), span);
  return std::clamp(at, span.first, span.last) - m_now;
}

ScheduledCost
ReturnSchedule::Scheduled(TimePoint aNow) const
{
  ScheduledCost sum;
  const auto first = BucketAt(std::max(aNow, m_now));
  for (auto bucket = first; bucket <= LastBucket(m_now); ++bucket) {
    sum.entitled += At(bucket).entitled;
    sum.others += At(bucket).others;
  }
  return sum;
}

void
ReturnSchedule::Advance(TimePoint aNow)
{
  if (aNow <= m_now) {
    return;
  }
  const auto end = std::min(BucketAt(aNow), LastBucket(m_now) + 1);
  for (auto bucket = BucketAt(m_now); bucket < end; ++bucket) {
    m_buckets[RingIndex(bucket)] = {};
  }
  m_now = aNow;
}

ReturnSchedule::Span
ReturnSchedule::AllowedSpan(const ReturnRequest& aRequest) const
{
  auto last = LatestReturn(aRequest.timeLeft);
  const auto first = std::clamp(aRequest.earliest, kMinRetryAfter, last);
  if (aRequest.targetLeft >= first) {
    last = std::min(last, aRequest.targetLeft);
  }
  return { m_now + first, m_now + last };
}

//! The others count for no more than their part of the room: those beyond it
//! must not delay entitled requests.
double
ReturnSchedule::RoomLeft(std::int64_t aBucket, bool aEntitled) const
{
  const auto& [entitled, others] = At(aBucket);
  const double othersRoom = m_bucketRoom * kOtherReturnsRatio;
  const double left = aEntitled
                        ? m_bucketRoom - entitled - std::min(others, othersRoom)
                        : othersRoom - entitled - others;
  return left > m_bucketRoom * kNegligibleRoomRatio ? left : 0.0;
}

//! Returns the time at which the cost already scheduled in the bucket has been
//! admitted.
TimePoint
ReturnSchedule::TimeInBucket(std::int64_t aBucket, bool aEntitled) const
{
  const double room =
    aEntitled ? m_bucketRoom : m_bucketRoom * kOtherReturnsRatio;
  const double usedRatio = 1 - RoomLeft(aBucket, aEntitled) / room;
  const double offsetMs = usedRatio * kReturnBucket.count();
  return aBucket * kReturnBucket +
         Duration(static_cast<std::int64_t>(std::max(offsetMs, 0.0)));
}

TimePoint
ReturnSchedule::TimeByKey(const Span& aSpan, std::uint64_t aKey) const
{
  constexpr int kHalfBits = 32;
  const auto draw =
    base::HashPair(static_cast<std::uint32_t>(aKey),
                   static_cast<std::uint32_t>(aKey >> kHalfBits) ^ kDrawSeed);
  const auto choices =
    static_cast<std::uint64_t>((aSpan.last - aSpan.first).count()) + 1;
  return aSpan.first + Duration(static_cast<std::int64_t>(draw % choices));
}

TimePoint
ReturnSchedule::Place(const ReturnRequest& aRequest, double aCost, Span aSpan)
{
  if (m_bucketRoom > 0) {
    const auto last = BucketAt(aSpan.last);
    for (auto bucket = BucketAt(aSpan.first); bucket <= last; ++bucket) {
      if (RoomLeft(bucket, aRequest.entitled) > 0) {
        const auto at = TimeInBucket(bucket, aRequest.entitled);
        RecordInRoom(bucket, aRequest.entitled, aCost);
        ++m_counts.inRoom;
        return at;
      }
    }
    ++m_counts.beyondRoom;
  } else {
    ++m_counts.roomUnknown;
  }
  const auto at = TimeByKey(aSpan, aRequest.key);
  Record(BucketAt(at), aRequest.entitled, aCost);
  return at;
}

void
ReturnSchedule::Record(std::int64_t aBucket, bool aEntitled, double aCost)
{
  auto& bucket = m_buckets[RingIndex(aBucket)];
  (aEntitled ? bucket.entitled : bucket.others) += aCost;
}

//! Records what exceeds the room of all following buckets in the last one.
void
ReturnSchedule::RecordInRoom(std::int64_t aBucket, bool aEntitled, double aCost)
{
  const auto last = LastBucket(m_now);
  auto bucket = aBucket;
  for (; bucket < last && aCost > RoomLeft(bucket, aEntitled); ++bucket) {
    const double part = RoomLeft(bucket, aEntitled);
    Record(bucket, aEntitled, part);
    aCost -= part;
  }
  Record(bucket, aEntitled, aCost);
}

const ScheduledCost&
ReturnSchedule::At(std::int64_t aBucket) const
{
  return m_buckets[RingIndex(aBucket)];
}

}
