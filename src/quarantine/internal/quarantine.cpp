#include "quarantine/quarantine.h"

#include "quarantine/crashchecks.h"
#include "quarantine/quarantineconstants.h"

#include <algorithm>

namespace hemlockgauge::quarantine {

void
Quarantine::RecordCrash(const Trait& aTrait,
                        UpstreamId aUpstream,
                        TimePoint aNow)
{
  const auto answer = m_partAnswers.Last(aTrait);
  const bool isHarmless = answer && aNow - *answer < kRecentAnswerTime &&
                          m_suspects.Find(aTrait) == nullptr;
  if (!isHarmless) {
    AddCrash(aTrait, { aUpstream, aNow }, aNow);
  }
}

void
Quarantine::AddCrash(const Trait& aTrait,
                     const Suspect::Crash& aCrash,
                     TimePoint aNow)
{
  ClearIfAnswered(aTrait, aCrash, aNow);
  auto& suspect = m_suspects.Obtain(aTrait);
  if (suspect.IsCleared(aCrash)) {
    // The router that reported the crash may not know that it is cleared.
    suspect.pendingReports = kReportsPerItem;
    return;
  }
  if (suspect.Crashes().empty()) {
    AddEarlierAnswer(aTrait, suspect, aNow);
  }
  if (suspect.AddCrash(aCrash)) {
    suspect.pendingReports = kReportsPerItem;
    m_suspects.Update(aTrait, aNow);
  }
}

//! Clears a request that this router saw answered shortly before the crash. It
//! may not have been a suspect then.
void
Quarantine::ClearIfAnswered(const Trait& aTrait,
                            const Suspect::Crash& aCrash,
                            TimePoint aNow)
{
  const auto answer = m_requestAnswers.Last(aTrait);
  if (answer && aCrash.at <= *answer + kClearedAfterAnswer) {
    Clear(aTrait, *answer, aNow);
  }
}

//! Adds the last answer of this router to a prompt part that becomes a suspect:
//! it counts as one after the first crash.
void
Quarantine::AddEarlierAnswer(const Trait& aTrait,
                             Suspect& aSuspect,
                             TimePoint aNow)
{
  const auto last = m_partAnswers.Last(aTrait);
  if (last && aNow - *last < kAnswerValidity) {
    aSuspect.AddAnswer({ AnswerId(m_nextAnswer++), *last });
  }
}

void
Quarantine::RecordAnswer(const Trait& aTrait, TimePoint aNow)
{
  const bool isPart = aTrait.kind == TraitKind::PromptPart;
  (isPart ? m_partAnswers : m_requestAnswers).Add(aTrait, aNow);
  const auto* suspect = m_suspects.Find(aTrait);
  if (suspect == nullptr) {
    return;
  }
  if (!isPart) {
    Clear(aTrait, aNow, aNow);
    return;
  }
  const auto& answers = suspect->Answers();
  const bool isDue =
    answers.empty() || aNow - answers.back().at >= kAnswerRecordInterval;
  if (isDue) {
    AddAnswer(aTrait, { AnswerId(m_nextAnswer++), aNow }, aNow);
  }
}

void
Quarantine::Clear(const Trait& aRequest, TimePoint aAt, TimePoint aNow)
{
  auto& suspect = m_suspects.Obtain(aRequest);
  if (suspect.clearedAt && aAt <= *suspect.clearedAt) {
    return;
  }
  const bool hadCrashes = suspect.RemoveCrashesUntil(aAt + kClearedAfterAnswer);
  const bool hasChanged = !suspect.clearedAt || hadCrashes;
  suspect.clearedAt = aAt;
  suspect.pendingReports =
    hasChanged ? kReportsPerItem : suspect.pendingReports;
  m_suspects.Update(aRequest, aNow);
}

void
Quarantine::AddAnswer(const Trait& aPart,
                      const Suspect::Answer& aAnswer,
                      TimePoint aNow)
{
  auto& suspect = m_suspects.Obtain(aPart);
  if (suspect.AddAnswer(aAnswer)) {
    suspect.pendingReports = kReportsPerItem;
    m_suspects.Update(aPart, aNow);
  }
}

void
Quarantine::RecordTrial(const Trait& aTrait, TimePoint aNow)
{
  if (auto* suspect = m_suspects.Find(aTrait)) {
    suspect->triedAt = aNow;
  }
}

std::size_t
Quarantine::CrashCount(const Trait& aTrait) const
{
  const auto* suspect = m_suspects.Find(aTrait);
  return suspect == nullptr ? 0 : m_suspects.UnexplainedCount(aTrait, *suspect);
}

//! Returns how long a suspect is still quarantined; no value if it is not.
std::optional<Duration>
Quarantine::QuarantinedFor(const Suspect& aSuspect, TimePoint aNow)
{
  if (!aSuspect.isQuarantined) {
    return std::nullopt;
  }
  const auto timeLeft = aSuspect.LastCrashAt() + kQuarantineDuration - aNow;
  return timeLeft > Duration{} ? std::optional(timeLeft) : std::nullopt;
}

std::optional<Duration>
Quarantine::RefusedFor(const Trait& aTrait,
                       std::size_t aUnsure,
                       TimePoint aNow) const
{
  const auto* suspect = m_suspects.Find(aTrait);
  if (suspect != nullptr) {
    if (const auto timeLeft = QuarantinedFor(*suspect, aNow)) {
      return timeLeft;
    }
  }
  if (aUnsure == 0) {
    return std::nullopt;
  }
  const auto answer = m_requestAnswers.Last(aTrait);
  if (answer && aNow <= *answer + kClearedAfterAnswer) {
    return std::nullopt;
  }
  const Suspect withoutEvidence;
  const auto& evidence = suspect == nullptr ? withoutEvidence : *suspect;
  return m_suspects.IsEnough(aTrait, evidence, aUnsure)
           ? std::optional(kPendingCheckRefusal)
           : std::nullopt;
}

QuarantineDecision
Quarantine::Decide(const std::vector<Trait>& aTraits,
                   const CrashChecks& aChecks,
                   TimePoint aNow) const
{
  QuarantineDecision decision;
  for (const auto& trait : aTraits) {
    auto ofTrait =
      DecideOne(trait, aTraits, aChecks.PendingChecks(trait), aNow);
    if (ofTrait.refusedFor) {
      return ofTrait;
    }
    if (ofTrait.isTrial) {
      decision = ofTrait;
    }
  }
  return decision;
}

//! Decides whether a request with aTraits may run, as far as one of them is
//! concerned.
QuarantineDecision
Quarantine::DecideOne(const Trait& aTrait,
                      const std::vector<Trait>& aTraits,
                      std::size_t aUnsure,
                      TimePoint aNow) const
{
  QuarantineDecision decision;
  decision.refusedFor = RefusedFor(aTrait, aUnsure, aNow);
  const auto* suspect = m_suspects.Find(aTrait);
  const bool awaitsTrial = suspect != nullptr && AwaitsTrial(aTrait, *suspect);
  if (!decision.refusedFor && !awaitsTrial) {
    return decision;
  }
  decision.trait = aTrait;
  if (suspect == nullptr) {
    return decision;
  }
  decision.crashes = suspect->Crashes().size();
  decision.answers = suspect->Answers().size();
  if (!suspect->isQuarantined && !awaitsTrial) {
    return decision; // refused until a check has ended
  }
  if (!IsTrialDue(*suspect, aTrait, aTraits, aNow)) {
    decision.refusedFor = decision.refusedFor.value_or(kTrialTurn);
    return decision;
  }
  decision.isTrial = IsOwnTurn(aTrait, *suspect, aNow);
  //! NOTE by the next turn, another router's trial may have lifted the
  //! quarantine.
  decision.refusedFor =
    decision.isTrial ? std::nullopt : std::optional(kTrialTurn);
  return decision;
}

//! Whether the quarantine of a suspect has ended, but nothing has shown yet
//! that it is harmless.
bool
Quarantine::AwaitsTrial(const Trait& aTrait, const Suspect& aSuspect) const
{
  return !aSuspect.isQuarantined &&
         aSuspect.Crashes().size() >= kCrashesToQuarantine &&
         m_suspects.IsEnough(aTrait, aSuspect);
}

//! Whether a request with aTraits should show if the suspect, which has one of
//! them, still crashes upstreams.
bool
Quarantine::IsTrialDue(const Suspect& aSuspect,
                       const Trait& aTrait,
                       const std::vector<Trait>& aTraits,
                       TimePoint aNow) const
{
  const auto sinceCrash = aNow - aSuspect.LastCrashAt();
  if (sinceCrash >= kQuarantineDuration) {
    return true;
  }
  return aTrait.kind == TraitKind::PromptPart &&
         sinceCrash >= kFirstTrialDelay &&
         (aSuspect.Crashes().size() < kProvenCrashes ||
          HasAlternative(aSuspect, aTraits));
}

bool
Quarantine::IsOwnTurn(const Trait& aTrait,
                      const Suspect& aSuspect,
                      TimePoint aNow) const
{
  const bool isRunning =
    aSuspect.triedAt && aNow - *aSuspect.triedAt < kTrialTurn;
  return !isRunning && m_turns.IsOwnTurn(aTrait, aNow - aSuspect.LastCrashAt());
}

//! Whether another part, which a request with aTraits doesn't have, ran at all
//! upstreams that crashed under the suspect but one, and was never answered: it
//! may be the cause instead.
bool
Quarantine::HasAlternative(const Suspect& aSuspect,
                           const std::vector<Trait>& aTraits) const
{
  const auto& all = m_suspects.All();
  return std::any_of(all.begin(), all.end(), [&](const auto& aEntry) {
    const auto& [trait, other] = aEntry;
    return trait.kind == TraitKind::PromptPart && &other != &aSuspect &&
           other.Answers().empty() &&
           std::find(aTraits.begin(), aTraits.end(), trait) == aTraits.end() &&
           aSuspect.CrashesBeside(other) <= 1;
  });
}

void
Quarantine::Take(const CrashUpdates& aUpdates, TimePoint aNow)
{
  for (const auto& clearance : aUpdates.clearances) {
    Clear(clearance.request, aNow - clearance.age, aNow);
  }
  for (const auto& answer : aUpdates.partAnswers) {
    if (answer.age < kCrashTtl) {
      AddAnswer(answer.part, { answer.answer, aNow - answer.age }, aNow);
    }
  }
  for (const auto& crash : aUpdates.crashes) {
    if (crash.age < kCrashTtl) {
      AddCrash(crash.request, { crash.upstream, aNow - crash.age }, aNow);
    }
  }
  for (const auto& crash : aUpdates.partCrashes) {
    if (crash.age < kCrashTtl) {
      AddCrash(crash.part, { crash.upstream, aNow - crash.age }, aNow);
    }
  }
}

std::vector<QuarantineNotice>
Quarantine::RefusedTraits(TimePoint aNow) const
{
  std::vector<QuarantineNotice> notices;
  for (const auto& trait : m_suspects.Quarantined()) {
    const auto& suspect = *m_suspects.Find(trait);
    if (QuarantinedFor(suspect, aNow)) {
      notices.push_back(SuspectTable::MakeNotice(
        trait, suspect, QuarantineChange::Quarantined, aNow));
    }
  }
  return notices;
}

}
