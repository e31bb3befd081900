#include "fleet/fleet.h"

#include "quarantine/quarantineconstants.h"

#include <utility>

//! What attempts show about requests that crash upstreams, and whether a
//! request may be placed in spite of it.
namespace hemlockgauge::fleet {

quarantine::UncheckedRun
Fleet::Attempt::ToUncheckedRun() const
{
  return { .request = fingerprint,
           .parts = parts,
           .hasBegun = !awaitsFirstToken,
           .writingTime = lastTokenAt - firstTokenAt };
}

//! Records what the end of an attempt says about the request and the parts of
//! its prompt. If a connection ended the attempt, a check of the upstream shows
//! first whether it crashed.
void
Fleet::RecordEvidence(const Attempt& aAttempt,
                      AttemptOutcome aEnd,
                      TimePoint aNow)
{
  if (aAttempt.fingerprint == RequestFingerprint{}) {
    return;
  }
  const bool isAnswered = aEnd == AttemptOutcome::Answered;
  if (isAnswered) {
    m_quarantine.RecordAnswer(aAttempt.fingerprint, aNow);
    RecordPartAnswers(aAttempt.parts, aNow);
  }
  auto run = aAttempt.ToUncheckedRun();
  run.looksComplete = aEnd == AttemptOutcome::AnsweredByClose;
  const auto* upstream = m_upstreams.Find(aAttempt.upstream);
  //! NOTE a leaving upstream closes its connections without a crash.
  const bool needsCheck =
    (run.looksComplete || aEnd == AttemptOutcome::Broken) &&
    upstream != nullptr && !upstream->IsLeaving();
  if (needsCheck) {
    m_crashChecks.AddRun(aAttempt.upstream, std::move(run), aNow);
  }
}

//! Records an answer to each part of an attempt's prompt as soon as its answer
//! has been written for long enough: while upstreams crash, few answers end.
void
Fleet::RecordProvenParts(Attempt& aAttempt, TimePoint aNow)
{
  const auto writingTime = aAttempt.lastTokenAt - aAttempt.firstTokenAt;
  if (aAttempt.hasProvenParts || writingTime < quarantine::kProvenWritingTime) {
    return;
  }
  aAttempt.hasProvenParts = true;
  RecordPartAnswers(aAttempt.parts, aNow);
}

void
Fleet::RecordPartAnswers(const std::vector<quarantine::PromptPartId>& aParts,
                         TimePoint aNow)
{
  for (const auto part : aParts) {
    m_quarantine.RecordAnswer(part, aNow);
  }
}

//! Records what a run shows now that its upstream has been checked. A crash
//! says nothing about parts whose answer had been written for long before it.
void
Fleet::RecordCheckedRun(const quarantine::UncheckedRun& aRun,
                        UpstreamId aUpstream,
                        quarantine::CheckResult aResult,
                        TimePoint aNow)
{
  if (aResult == quarantine::CheckResult::Crashed) {
    m_quarantine.RecordCrash(aRun.request, aUpstream, aNow);
    if (!aRun.HasProvenParts()) {
      for (const auto part : aRun.parts) {
        m_quarantine.RecordCrash(part, aUpstream, aNow);
      }
    }
  }
  if (aResult == quarantine::CheckResult::Alive && aRun.looksComplete) {
    m_quarantine.RecordAnswer(aRun.request, aNow);
    RecordPartAnswers(aRun.parts, aNow);
  }
}

std::vector<UpstreamToCheck>
Fleet::UpstreamsToCheck(TimePoint aNow)
{
  std::vector<UpstreamToCheck> due;
  for (const auto id : m_crashChecks.StartDueChecks(aNow)) {
    const auto* upstream = m_upstreams.Find(id);
    if (upstream != nullptr && !upstream->IsLeaving()) {
      due.push_back({ id, upstream->entry->address });
    } else {
      m_crashChecks.EndCheck(id); // it is leaving or no longer listed
    }
  }
  return due;
}

CheckNotice
Fleet::RecordCheck(UpstreamId aUpstream,
                   quarantine::CheckResult aResult,
                   TimePoint aNow)
{
  auto runs = m_crashChecks.EndCheck(aUpstream);
  for (const auto& run : runs) {
    RecordCheckedRun(run, aUpstream, aResult, aNow);
  }
  const auto* upstream = m_upstreams.Find(aUpstream);
  return { upstream != nullptr ? upstream->entry->id : "",
           aResult,
           std::move(runs) };
}

//! Whether the request is quarantined because upstreams crashed while they ran
//! it, or others with a part of its prompt. Sets aResult's crashes and
//! quarantine decision and, if refused, its outcome and Retry-After.
bool
Fleet::IsQuarantined(const PlaceRequest& aRequest,
                     PlaceResult& aResult,
                     TimePoint aNow) const
{
  const auto request = aRequest.fingerprint;
  if (request == RequestFingerprint{}) {
    return false;
  }
  aResult.crashes =
    m_quarantine.CrashCount(request) + m_crashChecks.PendingChecks(request);
  std::vector<quarantine::Trait> traits{ request };
  for (const auto part : aRequest.work->SharedParts()) {
    traits.emplace_back(part);
  }
  aResult.quarantine = m_quarantine.Decide(traits, m_crashChecks, aNow);
  const auto refusedFor = aResult.quarantine.refusedFor;
  if (refusedFor) {
    aResult.outcome = PlaceOutcome::Quarantined;
    aResult.retryAfter = *refusedFor;
  }
  return refusedFor.has_value();
}

}
