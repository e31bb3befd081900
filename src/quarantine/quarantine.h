#pragma once

#include "quarantine/crashreporter.h"
#include "quarantine/quarantinetypes.h"
#include "quarantine/recentanswers.h"
#include "quarantine/suspecttable.h"
#include "quarantine/trialturns.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hemlockgauge::quarantine {

class CrashChecks;

//! Decides which requests are quarantined, that is refused because upstreams
//! crash while they run them.
//!
//! What crashes an upstream may be one request, which callers send again and
//! again under new ids, or one part of prompts, which otherwise different
//! requests share. Both are traits. Each crash also ends the other requests
//! that the upstream ran, and routers report to each other which traits an
//! upstream ran when it crashed. A request that was under kCrashesToQuarantine
//! crashes, or a part whose score reaches kPartScoreToQuarantine, is refused
//! for kQuarantineDuration.
//!
//! Requests that merely shared an upstream with the cause of a crash have to
//! stay in service:
//! - One complete answer clears a request, also if it came shortly before the
//!   crash. For a prompt part crashes are weighed against answers, see
//!   PartScore.
//! - A crash doesn't count for a trait if another one explains it, see
//!   SuspectTable.
//! - A prompt part is tried again by one router at a time, see TrialTurns, when
//!   its quarantine ends, and before that if it has few crashes or if another
//!   part was beside it at nearly all of them.
//!
//! Routers merge each other's reports in any order. The state is bounded by
//! kMaxSuspects and is sent again from time to time, see CrashReporter.
class Quarantine
{
public:
  //! aAnswerSeed: first id of the answers that this router reports; differs
  //! between routers and their starts.
  explicit Quarantine(std::uint32_t aAnswerSeed = 0)
    : m_nextAnswer(aAnswerSeed)
  {
  }

  //! Sets the position of this router among aRouters, which take turns in
  //! trials. All routers have to agree on it.
  void SetRank(std::size_t aRank, std::size_t aRouters)
  {
    m_turns.SetRank(aRank, aRouters);
  }

  //! Records that an upstream crashed while it ran a request with the trait. A
  //! prompt part that was answered here a moment ago does not become a suspect.
  void RecordCrash(const Trait& aTrait, UpstreamId aUpstream, TimePoint aNow);
  //! Records that an upstream answered a request with the trait.
  void RecordAnswer(const Trait& aTrait, TimePoint aNow);
  //! Records that this router sends a request to try the trait.
  void RecordTrial(const Trait& aTrait, TimePoint aNow);

  //! Number of upstreams that crashed while they ran requests with the trait,
  //! without crashes that another trait explains.
  std::size_t CrashCount(const Trait& aTrait) const;
  //! Returns how long requests with the trait have to be refused; no value if
  //! they may run. aUnsure is the number of upstreams that may have crashed
  //! while they ran one, which is still being checked.
  std::optional<Duration> RefusedFor(const Trait& aTrait,
                                     std::size_t aUnsure,
                                     TimePoint aNow) const;
  //! Decides whether a request with all these traits may run.
  QuarantineDecision Decide(const std::vector<Trait>& aTraits,
                            const CrashChecks& aChecks,
                            TimePoint aNow) const;

  //! Merges what another router reported.
  void Take(const CrashUpdates& aUpdates, TimePoint aNow);
  CrashUpdates TakeUnreportedCrashes(TimePoint aNow)
  {
    return CrashReporter::TakeUnreported(m_suspects, aNow);
  }
  CrashUpdates NextCrashRefresh(TimePoint aNow)
  {
    return m_reporter.NextRefresh(m_suspects, aNow);
  }
  //! Ends quarantines and forgets what has expired.
  void Tick(TimePoint aNow) { m_suspects.Tick(aNow); }

  //! Returns the changes since the last call.
  std::vector<QuarantineNotice> TakeNotices()
  {
    return m_suspects.TakeNotices();
  }
  std::size_t SuspectCount() const { return m_suspects.All().size(); }
  std::uint64_t EvictedCount() const { return m_suspects.EvictedCount(); }
  //! Returns the traits that are refused at aNow, with their evidence.
  std::vector<QuarantineNotice> RefusedTraits(TimePoint aNow) const;

private:
  void AddCrash(const Trait& aTrait,
                const Suspect::Crash& aCrash,
                TimePoint aNow);
  void AddAnswer(const Trait& aPart,
                 const Suspect::Answer& aAnswer,
                 TimePoint aNow);
  void AddEarlierAnswer(const Trait& aTrait, Suspect& aSuspect, TimePoint aNow);
  void ClearIfAnswered(const Trait& aTrait,
                       const Suspect::Crash& aCrash,
                       TimePoint aNow);
  void Clear(const Trait& aRequest, TimePoint aAt, TimePoint aNow);

  static std::optional<Duration> QuarantinedFor(const Suspect& aSuspect,
                                                TimePoint aNow);
  QuarantineDecision DecideOne(const Trait& aTrait,
                               const std::vector<Trait>& aTraits,
                               std::size_t aUnsure,
                               TimePoint aNow) const;
  bool AwaitsTrial(const Trait& aTrait, const Suspect& aSuspect) const;
  bool IsTrialDue(const Suspect& aSuspect,
                  const Trait& aTrait,
                  const std::vector<Trait>& aTraits,
                  TimePoint aNow) const;
  bool IsOwnTurn(const Trait& aTrait,
                 const Suspect& aSuspect,
                 TimePoint aNow) const;
  bool HasAlternative(const Suspect& aSuspect,
                      const std::vector<Trait>& aTraits) const;

  SuspectTable m_suspects;
  CrashReporter m_reporter;
  RecentAnswers m_requestAnswers;
  RecentAnswers m_partAnswers;
  TrialTurns m_turns;
  std::uint32_t m_nextAnswer;
};

}
