#pragma once

#include "quarantine/suspect.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace hemlockgauge::quarantine {

//! The traits under which upstreams crashed, at most kMaxSuspects, and which of
//! them are quarantined.
//!
//! A crash also ends the requests beside its cause, so that several traits have
//! the same crash. A quarantined suspect explains the crashes that it shares
//! with a less likely one; they don't count for that one.
class SuspectTable
{
public:
  using Suspects = std::map<Trait, Suspect>;

  //! Null if the trait is not suspected.
  const Suspect* Find(const Trait& aTrait) const;
  Suspect* Find(const Trait& aTrait);
  //! Returns the suspect; adds one without evidence if there is none.
  Suspect& Obtain(const Trait& aTrait) { return m_suspects[aTrait]; }
  const Suspects& All() const { return m_suspects; }
  Suspects& All() { return m_suspects; }
  const std::set<Trait>& Quarantined() const { return m_quarantined; }
  //! Number of suspects that were dropped because there were too many.
  std::uint64_t EvictedCount() const { return m_evicted; }

  //! Number of the suspect's crashes that no other suspect explains.
  std::size_t UnexplainedCount(const Trait& aTrait,
                               const Suspect& aSuspect) const;
  //! Whether the evidence is enough to quarantine the trait. aUnsure is the
  //! number of further crashes that are still being checked.
  bool IsEnough(const Trait& aTrait,
                const Suspect& aSuspect,
                std::size_t aUnsure = 0) const;
  //! Begins or ends the quarantine of a suspect whose evidence has changed, and
  //! of those whose crashes are now explained, or no longer. May evict
  //! suspects, so that pointers to them become invalid.
  void Update(const Trait& aTrait, TimePoint aNow);
  //! Ends quarantines after kQuarantineDuration and removes what has expired.
  void Tick(TimePoint aNow);

  //! Returns the changes since the last call.
  std::vector<QuarantineNotice> TakeNotices();
  static QuarantineNotice MakeNotice(const Trait& aTrait,
                                     const Suspect& aSuspect,
                                     QuarantineChange aChange,
                                     TimePoint aNow);

private:
  bool Explains(const Trait& aOther,
                const Trait& aTrait,
                const Suspect& aSuspect) const;
  bool IsExplained(const Trait& aTrait,
                   const Suspect& aSuspect,
                   UpstreamId aUpstream) const;
  std::vector<Suspect::Crash> Unexplained(const Trait& aTrait,
                                          const Suspect& aSuspect) const;
  void Evaluate(const Trait& aTrait, Suspect& aSuspect, TimePoint aNow);
  void EvaluateAll(TimePoint aNow);
  void SetQuarantined(const Trait& aTrait,
                      Suspect& aSuspect,
                      bool aIsQuarantined,
                      QuarantineChange aWhy,
                      TimePoint aNow);
  void EvictIfFull();

  Suspects m_suspects;
  std::set<Trait> m_quarantined; //!< those of m_suspects that are
  std::uint64_t m_evicted = 0;
  std::vector<QuarantineNotice> m_notices;
};

}
