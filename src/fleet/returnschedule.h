#pragma once

#include "fleet/fleetconstants.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hemlockgauge::fleet {

using base::Duration;
using base::TimePoint;

//! A refused request whose caller may retry.
struct ReturnRequest
{
  //! Tokens, or calls at a plain service. A value that is negative or not
  //! finite counts as 0.
  double cost = 0;
  Duration earliest{ 0 }; //!< least useful Retry-After
  Duration timeLeft{ 0 }; //!< until the caller's deadline
  bool entitled = false;  //!< its workspace is inside its fair share
  //! Latest Retry-After with which the response can still meet its target; 0 or
  //! less if none can.
  Duration targetLeft{ 0 };
  std::uint64_t key = 0; //!< differs between requests
};

//! Cost of the requests that were told to retry at a time still to come.
struct ScheduledCost
{
  double entitled = 0;
  double others = 0; //!< of requests that are not entitled
};

//! Numbers of retry times assigned since the start of the router.
struct ReturnCounts
{
  std::uint64_t inRoom = 0;      //!< in a bucket that had room
  std::uint64_t beyondRoom = 0;  //!< by key, as no bucket had room
  std::uint64_t roomUnknown = 0; //!< by key, as the room is unknown
  std::uint64_t tooLate = 0;     //!< the caller has no time for a retry
};

//! Assigns the retry times of refused requests of one service at one router, so
//! that no more of them retry at a time than the upstreams admit.
//!
//! A request starts in the first bucket that has any room, and its cost also
//! uses the room of the following buckets if it exceeds that of the first one:
//! a long prompt costs more than a router's part of the upstreams admits in one
//! bucket.
class ReturnSchedule
{
public:
  //! Sets the cost per ms that this router's part of the upstreams admits. The
  //! room is unknown if it is 0, negative or not finite.
  void SetRoom(double aCostPerMs);
  //! Returns the Retry-After for a refused request and records its cost. It is
  //! at least kMinRetryAfter, even if the caller won't wait that long.
  Duration Assign(const ReturnRequest& aRequest, TimePoint aNow);

  ScheduledCost Scheduled(TimePoint aNow) const;
  const ReturnCounts& Counts() const { return m_counts; }

private:
  //! Times between which a retry is placed.
  struct Span
  {
    TimePoint first;
    TimePoint last;
  };

  void Advance(TimePoint aNow);
  Span AllowedSpan(const ReturnRequest& aRequest) const;
  double RoomLeft(std::int64_t aBucket, bool aEntitled) const;
  TimePoint TimeInBucket(std::int64_t aBucket, bool aEntitled) const;
  TimePoint TimeByKey(const Span& aSpan, std::uint64_t aKey) const;
  TimePoint Place(const ReturnRequest& aRequest, double aCost, Span aSpan);
  void Record(std::int64_t aBucket, bool aEntitled, double aCost);
  void RecordInRoom(std::int64_t aBucket, bool aEntitled, double aCost);

  const ScheduledCost& At(std::int64_t aBucket) const;

  //! A ring; the bucket that starts at n * kReturnBucket is at n modulo the
  //! number of buckets.
  std::array<ScheduledCost, kReturnBuckets> m_buckets;
  TimePoint m_now{ 0 }; //!< latest time seen
  double m_bucketRoom = 0;
  ReturnCounts m_counts;
};

}
