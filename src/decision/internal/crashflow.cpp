#include "decision/internal/crashflow.h"

#include "decision/decisionconstants.h"

namespace hemlockgauge::decision {

using quarantine::CheckResult;
using quarantine::CrashNews;
using quarantine::RequestFingerprint;

void
CrashFlow::Ended(const RequestState& aRequest,
                 UpstreamId aUpstream,
                 AttemptOutcome aOutcome)
{
  const auto fingerprint = aRequest.asked.fingerprint;
  if (fingerprint == RequestFingerprint{}) {
    return;
  }
  if (aOutcome == AttemptOutcome::Completed) {
    m_state.quarantine.EndedWell(fingerprint, m_state.now);
    return;
  }
  const auto* host = m_state.hosts.FindUpstream(aUpstream);
  const bool broke = aOutcome == AttemptOutcome::BrokenEarly ||
                     aOutcome == AttemptOutcome::BrokenLate;
  //! NOTE an upstream that is leaving closes its connections without a crash.
  if (broke && host != nullptr && host->state == HostState::Live) {
    m_state.crashChecks.Broke(aUpstream, fingerprint, m_state.now);
  }
}

std::optional<Duration>
CrashFlow::HeldFor(const RequestQueued& aRequest) const
{
  if (aRequest.fingerprint == RequestFingerprint{}) {
    return std::nullopt;
  }
  const auto unsure = m_state.crashChecks.Waiting(aRequest.fingerprint);
  return m_state.quarantine.HeldFor(aRequest.fingerprint, unsure, m_state.now);
}

void
CrashFlow::Take(const UpstreamChecked& aEvent)
{
  const auto broken = m_state.crashChecks.Take(aEvent.upstream);
  if (aEvent.result != CheckResult::Crashed) {
    return;
  }
  for (const auto request : broken) {
    m_state.quarantine.Crashed(request, aEvent.upstream, m_state.now);
  }
}

void
CrashFlow::Take(const CrashNews& aNews)
{
  m_state.quarantine.Take(aNews, m_state.now);
}

void
CrashFlow::Tell(const std::vector<RouterId>& aNeighbours,
                const CrashNews& aNews)
{
  if (aNews.IsEmpty()) {
    return;
  }
  for (const auto neighbour : aNeighbours) {
    m_state.outbox.For(neighbour).crashNews = aNews;
  }
}

bool
CrashFlow::NoteChanges()
{
  bool quarantined = false;
  for (const auto& notice : m_state.quarantine.TakeNotices()) {
    quarantined =
      quarantined || notice.change == quarantine::QuarantineChange::Quarantined;
    const auto change =
      quarantine::kQuarantineChangeNames.NameOf(notice.change);
    m_state.Note(DecisionKind::QuarantineChanged,
                 "fingerprint=" + quarantine::FingerprintText(notice.request) +
                   " change=" + std::string(change) +
                   " crashes=" + std::to_string(notice.crashes));
  }
  return quarantined;
}

bool
CrashFlow::Tick(const std::vector<RouterId>& aNeighbours)
{
  for (const auto upstream : m_state.crashChecks.TakeDue(m_state.now)) {
    if (const auto* host = m_state.hosts.FindUpstream(upstream)) {
      m_state.Act(CheckUpstream{ upstream, host->address });
    } else {
      m_state.crashChecks.Take(upstream); // the upstream has been removed
    }
  }
  m_state.quarantine.Tick(m_state.now);
  const bool inTurn = m_state.now - m_toldInTurnAt >= kQuarantineTold;
  if (inTurn) {
    m_toldInTurnAt = m_state.now;
    Tell(aNeighbours, m_state.quarantine.TellInTurn(m_state.now));
  } else {
    Tell(aNeighbours, m_state.quarantine.TellNews(m_state.now));
  }
  return NoteChanges();
}

}
