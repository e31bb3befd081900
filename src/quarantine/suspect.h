#pragma once

#include "quarantine/quarantinetypes.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace hemlockgauge::quarantine {

//! What is known of one trait of requests: under which upstreams' crashes it
//! was, and that requests with it were answered.
class Suspect
{
public:
  //! A crash of an upstream that ran a request with the trait.
  struct Crash
  {
    UpstreamId upstream{};
    TimePoint at{};
  };
  //! An answer to a request with the trait.
  struct Answer
  {
    AnswerId id{};
    TimePoint at{};
  };

  //! The oldest first, one per upstream, at most kMaxCrashesPerSuspect.
  const std::vector<Crash>& Crashes() const { return m_crashes; }
  //! The oldest first, at most kMaxAnswersPerSuspect.
  const std::vector<Answer>& Answers() const { return m_answers; }

  //! Add a crash or an answer that several routers may report. Reported ages
  //! lack the transmission time, so that the earliest of the resulting times is
  //! the most accurate. Return whether it is new and kept: if there are too
  //! many, the oldest is dropped.
  bool AddCrash(const Crash& aCrash);
  bool AddAnswer(const Answer& aAnswer);
  //! Removes crashes up to a time. Returns whether there were any.
  bool RemoveCrashesUntil(TimePoint aUntil);

  //! Whether an answer to the request clears it of the crash.
  bool IsCleared(const Crash& aCrash) const;
  bool HasCrashOf(UpstreamId aUpstream) const;
  //! Number of crashes that aOther doesn't have.
  std::size_t CrashesBeside(const Suspect& aOther) const;
  //! Crashes less what answers outweigh: which of two suspects is more likely
  //! to be the cause of the crashes that both have.
  int Strength() const;
  TimePoint LastCrashAt() const;
  //! Time of the last crash, answer or clearance.
  TimePoint LastEventAt() const;

  std::optional<TimePoint> clearedAt; //!< last complete answer to the request
  std::optional<TimePoint> triedAt;   //!< last trial by this router
  bool isQuarantined = false;
  int pendingReports = 0; //!< number of reports that still have to include it

private:
  std::vector<Crash> m_crashes;
  std::vector<Answer> m_answers;
};

}
