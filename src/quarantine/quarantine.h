#pragma once

#include "quarantine/quarantinetypes.h"
#include "quarantine/recentsuccesses.h"

#include <cstddef>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace hemlockgauge::quarantine {

//! Requests that are kept from upstreams, since upstreams crash under them.
//!
//! The load: a request that crashes each upstream that runs it and comes again,
//! at any router, under another id; beside it whatever those upstreams ran.
//! Routers tell each other under which requests an upstream crashed. One that
//! kCrashesToQuarantine upstreams crashed under is refused for
//! kQuarantineTime, then tried again.
//!
//! Who merely shared an upstream with a crash keeps its service: one whole
//! answer clears a request, also one that came shortly before the crash, and a
//! crash is explained, and counts for no other, by a quarantined request under
//! which more upstreams crashed.
//!
//! The state is what routers have told lately: merged in any order, bounded by
//! kMostSuspects, and told again now and then for routers that start or were
//! cut off.
class Quarantine
{
public:
  //! An upstream crashed while it ran the request.
  void Crashed(RequestFingerprint aRequest,
               UpstreamId aUpstream,
               TimePoint aNow);
  //! An upstream gave a whole answer to it.
  void EndedWell(RequestFingerprint aRequest, TimePoint aNow);

  //! Upstreams that crashed under it and that nothing else explains.
  std::size_t Crashes(RequestFingerprint aRequest) const;
  //! For how long it is to be refused; nothing: it may run. aUnsure: upstreams
  //! that broke under it and may have crashed.
  std::optional<Duration> HeldFor(RequestFingerprint aRequest,
                                  std::size_t aUnsure,
                                  TimePoint aNow) const;

  //! What another router told.
  void Take(const CrashNews& aNews, TimePoint aNow);
  //! What others may not know yet, each a few times: reports get lost.
  CrashNews TellNews(TimePoint aNow);
  //! For routers that start or were cut off: all that is quarantined, and some
  //! of the suspects, others each time.
  CrashNews TellInTurn(TimePoint aNow);
  //! Forgets what is old.
  void Tick(TimePoint aNow);

  //! What has changed since the last call.
  std::vector<QuarantineNotice> TakeNotices();
  std::size_t Suspects() const { return m_records.size(); }
  //! The requests that are refused now, and how many upstreams crashed under
  //! each.
  std::vector<QuarantineNotice> Held(TimePoint aNow) const;

private:
  struct Crash
  {
    UpstreamId upstream{};
    TimePoint at{};
  };

  struct Record
  {
    std::vector<Crash> crashes; //!< the oldest first
    std::optional<TimePoint> clearedAt;
    bool held = false;
    int toTell = 0; //!< in so many more reports

    //! What least is known of is the least.
    auto Rank() const { return std::tuple(held, crashes.size(), Newest()); }

    TimePoint Newest() const;
  };

  using Records = std::map<RequestFingerprint, Record>;

  void Add(RequestFingerprint aRequest, const Crash& aCrash, TimePoint aNow);
  void Clear(RequestFingerprint aRequest, TimePoint aAt);
  void Judge(RequestFingerprint aRequest, Record& aRecord, TimePoint aNow);
  bool IsExplained(const Record& aRecord, UpstreamId aUpstream) const;
  std::size_t Unexplained(const Record& aRecord) const;
  void ReleaseExplained();
  static void TellRecord(CrashNews& aNews,
                         RequestFingerprint aRequest,
                         const Record& aRecord,
                         TimePoint aNow);
  void MakeRoom();
  void Note(RequestFingerprint aRequest,
            QuarantineChange aChange,
            const Record& aRecord);

  Records m_records;
  RecentSuccesses m_successes;
  RequestFingerprint m_nextTold{};
  std::vector<QuarantineNotice> m_notices;
};

}
