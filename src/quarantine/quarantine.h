#pragma once

#include "quarantine/quarantinetypes.h"
#include "quarantine/recentsuccesses.h"

#include <cstddef>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace hemlockgauge::quarantine {

//! Decides which requests are quarantined, that is refused because upstreams
//! crash while they run them.
//!
//! Such a request crashes each upstream that runs it, and callers send it
//! again, to any router and under another request id. Each crash also ends the
//! other requests that the upstream ran. Routers report to each other which
//! requests an upstream ran when it crashed. A request that
//! kCrashesToQuarantine upstreams ran when they crashed is refused for
//! kQuarantineDuration and may then be tried again.
//!
//! Requests that merely shared an upstream with the cause of a crash have to
//! stay in service. One complete answer therefore clears a request, also if it
//! came shortly before the crash. A crash doesn't count for a request if it is
//! explained by another one: a quarantined request that has more crashes and
//! that the same upstream ran.
//!
//! The state consists of recent reports of routers. It doesn't depend on their
//! order, is bounded by kMaxSuspects, and is sent again from time to time for
//! routers that start or were cut off.
class Quarantine
{
public:
  //! Records that an upstream crashed while it ran the request.
  void RecordCrash(RequestFingerprint aRequest,
                   UpstreamId aUpstream,
                   TimePoint aNow);
  //! Records that an upstream answered the request completely.
  void RecordSuccess(RequestFingerprint aRequest, TimePoint aNow);

  //! Number of upstreams that crashed while they ran the request, without
  //! crashes that another request explains.
  std::size_t CrashCount(RequestFingerprint aRequest) const;
  //! Returns how long the request has to be refused; no value if it may run.
  //! aUnsure is the number of upstreams that may have crashed while they ran
  //! it, which is still being checked.
  std::optional<Duration> RefusedFor(RequestFingerprint aRequest,
                                     std::size_t aUnsure,
                                     TimePoint aNow) const;

  //! Merges what another router reported.
  void Take(const CrashUpdates& aNews, TimePoint aNow);
  //! Returns what other routers may not know yet. Each item is returned
  //! kReportsPerItem times, since reports get lost.
  CrashUpdates TakeUnreportedCrashes(TimePoint aNow);
  //! Returns all quarantined requests and, in rotation, some of the suspects,
  //! for routers that start or were cut off.
  CrashUpdates NextCrashRefresh(TimePoint aNow);
  //! Ends quarantines after kQuarantineDuration and removes expired records.
  void Tick(TimePoint aNow);

  //! Returns the changes since the last call.
  std::vector<QuarantineNotice> TakeNotices();
  //! Number of requests that have a record.
  std::size_t SuspectCount() const { return m_records.size(); }
  //! Returns the requests that are refused at aNow, with the number of
  //! upstreams that crashed while they ran each.
  std::vector<QuarantineNotice> RefusedRequests(TimePoint aNow) const;

private:
  //! A crash of an upstream that ran the request.
  struct Crash
  {
    UpstreamId upstream{};
    TimePoint at{};
  };

  struct Record
  {
    std::vector<Crash> crashes;         //!< the oldest first, one per upstream
    std::optional<TimePoint> clearedAt; //!< last complete answer
    bool isQuarantined = false;
    int pendingReports = 0; //!< number of reports that still have to include it

    //! Order of records. The lowest ones are evicted first, the highest ones
    //! are reported first.
    auto Priority() const
    {
      return std::tuple(isQuarantined, crashes.size(), LastEventAt());
    }

    //! Time of the last crash or complete answer.
    TimePoint LastEventAt() const;
  };

  using Records = std::map<RequestFingerprint, Record>;

  void Add(RequestFingerprint aRequest, const Crash& aCrash, TimePoint aNow);
  void Clear(RequestFingerprint aRequest, TimePoint aAt);
  void QuarantineIfNeeded(RequestFingerprint aRequest,
                          Record& aRecord,
                          TimePoint aNow);
  bool IsExplained(const Record& aRecord, UpstreamId aUpstream) const;
  std::size_t CountUnexplained(const Record& aRecord) const;
  void ReleaseExplained();
  static void AppendRecord(CrashUpdates& aNews,
                           RequestFingerprint aRequest,
                           const Record& aRecord,
                           TimePoint aNow);
  void EvictIfFull();
  void AddNotice(RequestFingerprint aRequest,
                 QuarantineChange aChange,
                 const Record& aRecord);

  Records m_records;
  RecentSuccesses m_successes;
  RequestFingerprint m_nextInTurn{};
  std::vector<QuarantineNotice> m_notices;
};

}
