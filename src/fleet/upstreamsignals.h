#pragma once

#include "base/enumnames.h"
#include "fleet/upstreamlist.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hemlockgauge::fleet {

//! What an upstream states about itself in one answer.
struct AnswerSignals
{
  bool leaving = false; //!< it will end and wants no more requests
  //! It wants no requests from this router for so long; 0: not stated.
  Duration retryAfter{};

  bool IsEmpty() const { return !leaving && retryAfter <= Duration{}; }
};

//! What an answer changes in the use of its upstream.
enum class SignalChange : std::uint8_t
{
  None,
  Leaving, //!< it gets no more requests
  Paused   //!< it gets no requests until its Retry-After has passed
};
inline constexpr auto kSignalChangeNames =
  base::MakeEnumNames<SignalChange>("none", "leaving", "paused");

//! What upstreams stated about themselves in answers to this router.
//!
//! An answer is newer than the upstream's entry in the store, which may be
//! outdated, expire, or be listed again by a store that was restored from a
//! copy. A statement therefore holds for its incarnation, whether it is listed
//! or not, until the entry shows a later start.
class UpstreamSignals
{
public:
  //! Records the statements of an answer. aEntry: the upstream's entry when the
  //! request was sent; aNow: not before the upstream sent the answer.
  SignalChange Record(const UpstreamEntry& aEntry,
                      const AnswerSignals& aSignals,
                      TimePoint aNow);
  //! Whether this incarnation, or a later one, stated that it is leaving.
  bool IsLeaving(const UpstreamEntry& aEntry) const;
  //! Time until which this incarnation, or a later one, wants no requests.
  TimePoint PausedUntil(const UpstreamEntry& aEntry) const;

  //! Forgets ended pauses, and upstreams that have not been listed for
  //! kSignalRetention. The number of upstreams that are left is limited by the
  //! answers that this router received in that time.
  void Sweep(const UpstreamEntries& aListed, TimePoint aNow);
  //! Number of upstreams that statements are stored of.
  std::size_t Size() const { return m_statements.size(); }
  std::size_t LeavingCount() const;
  std::size_t PausedCount(TimePoint aNow) const;

private:
  struct Statements
  {
    std::optional<std::uint64_t> startedAt; //!< see UpstreamEntry
    TimePoint lastListedAt{};
    bool leaving = false;
    TimePoint pausedUntil{ TimePoint::min() };
  };

  //! Returns the statements to update for this incarnation, or null if those
  //! of a later incarnation are stored.
  Statements* StatementsOf(const UpstreamEntry& aEntry, TimePoint aNow);
  //! Returns null if nothing is known that applies to this incarnation.
  const Statements* Find(const UpstreamEntry& aEntry) const;

  std::map<std::string, Statements> m_statements; //!< by the upstream's id
};

}
