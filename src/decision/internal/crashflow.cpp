#include "decision/internal/crashflow.h"

#include "decision/decisionconstants.h"

namespace hemlockgauge::decision {

using quarantine::CheckResult;
using quarantine::CrashUpdates;
using quarantine::RequestFingerprint;

void
CrashFlow::RecordOutcome(const RequestState& aRequest,
                         UpstreamId aUpstream,
                         AttemptOutcome aOutcome)
{
  const auto fingerprint = aRequest.parameters.fingerprint;
  if (fingerprint == RequestFingerprint{}) {
    return;
  }
  if (aOutcome == AttemptOutcome::Completed) {
    m_state.quarantine.RecordAnswer(fingerprint, m_state.now);
    return;
  }
  const auto* host = m_state.hosts.FindUpstream(aUpstream);
  const bool isBroken = aOutcome == AttemptOutcome::BrokenEarly ||
                        aOutcome == AttemptOutcome::BrokenLate;
  //! NOTE an upstream that is leaving closes its connections without a crash.
  if (isBroken && host != nullptr && host->state == HostState::Live) {
    m_state.crashChecks.AddRun(
      aUpstream, { .request = fingerprint }, m_state.now);
  }
}

std::optional<Duration>
CrashFlow::QuarantinedFor(const RequestQueued& aRequest) const
{
  if (aRequest.fingerprint == RequestFingerprint{}) {
    return std::nullopt;
  }
  const auto uncheckedBreaks =
    m_state.crashChecks.PendingChecks(aRequest.fingerprint);
  return m_state.quarantine.RefusedFor(
    aRequest.fingerprint, uncheckedBreaks, m_state.now);
}

void
CrashFlow::Handle(const UpstreamChecked& aEvent)
{
  const auto broken = m_state.crashChecks.EndCheck(aEvent.upstream);
  if (aEvent.result != CheckResult::Crashed) {
    return;
  }
  for (const auto& run : broken) {
    m_state.quarantine.RecordCrash(run.request, aEvent.upstream, m_state.now);
  }
}

void
CrashFlow::Handle(const CrashUpdates& aUpdates)
{
  m_state.quarantine.Take(aUpdates, m_state.now);
}

void
CrashFlow::SendUpdates(const std::vector<RouterId>& aNeighbours,
                       const CrashUpdates& aUpdates)
{
  if (aUpdates.IsEmpty()) {
    return;
  }
  for (const auto neighbour : aNeighbours) {
    m_state.outbox.FrameFor(neighbour).crashUpdates = aUpdates;
  }
}

bool
CrashFlow::RecordChanges()
{
  bool quarantined = false;
  for (const auto& notice : m_state.quarantine.TakeNotices()) {
    quarantined =
      quarantined || notice.change == quarantine::QuarantineChange::Quarantined;
    const auto change =
      quarantine::kQuarantineChangeNames.NameOf(notice.change);
    m_state.Record(DecisionKind::QuarantineChanged,
                   "trait=" + quarantine::TraitText(notice.trait) +
                     " change=" + std::string(change) +
                     " crashes=" + std::to_string(notice.crashes));
  }
  return quarantined;
}

bool
CrashFlow::Tick(const std::vector<RouterId>& aNeighbours)
{
  for (const auto upstream : m_state.crashChecks.StartDueChecks(m_state.now)) {
    if (const auto* host = m_state.hosts.FindUpstream(upstream)) {
      m_state.AddAction(CheckUpstream{ upstream, host->address });
    } else {
      m_state.crashChecks.EndCheck(upstream); // the upstream has been removed
    }
  }
  m_state.quarantine.Tick(m_state.now);
  const bool listDue = m_state.now - m_listSentAt >= kQuarantineListInterval;
  if (listDue) {
    m_listSentAt = m_state.now;
    SendUpdates(aNeighbours, m_state.quarantine.NextCrashRefresh(m_state.now));
  } else {
    SendUpdates(aNeighbours,
                m_state.quarantine.TakeUnreportedCrashes(m_state.now));
  }
  return RecordChanges();
}

}
