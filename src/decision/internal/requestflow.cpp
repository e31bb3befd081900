#include "decision/internal/requestflow.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

bool
DidNotRun(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::ConnectFailed ||
         aOutcome == AttemptOutcome::Refused ||
         aOutcome == AttemptOutcome::NotSent;
}

bool
IsUpstreamFailure(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::ConnectFailed ||
         aOutcome == AttemptOutcome::BrokenEarly ||
         aOutcome == AttemptOutcome::BrokenLate;
}

}

void
RequestFlow::Handle(const RequestQueued& aEvent)
{
  auto& pool = m_state.PoolOf(aEvent.pool);
  auto* queue = pool.Find(aEvent.workspace);
  if (queue == nullptr || !queue->inDocuments) {
    Refuse(aEvent.request,
           RefusalReason::UnknownWorkspace,
           base::Verdict::NotRun,
           kMinRetryAfter);
    return;
  }
  if (const auto quarantinedFor = m_crashes.QuarantinedFor(aEvent)) {
    Refuse(aEvent.request,
           RefusalReason::Quarantined,
           base::Verdict::NotRun,
           *quarantinedFor);
    return;
  }
  if (queue->Demand() == 0) {
    pool.RefreshShares(m_state.fleetView, m_state.now);
  }
  if (const auto why = CheckAdmission(aEvent, *queue, pool)) {
    Refuse(
      aEvent.request, *why, base::Verdict::NotRun, RetryAfter(pool, *queue));
    return;
  }
  if (!m_state.requests.Add(aEvent, m_state.now)) {
    m_state.CheckInvariant(false, "duplicate request id");
    return;
  }
  m_state.retryBudget.CountFirstAttempt();
  const bool wasIdle = queue->Demand() == 0;
  pool.Enqueue(*queue, aEvent.request);
  if (wasIdle) {
    pool.RefreshShares(m_state.fleetView, m_state.now);
  }
  m_state.RecordRequest(DecisionKind::Queued,
                        aEvent.request,
                        queue->Spec().name,
                        "",
                        "waiting=" + std::to_string(queue->Waiting()));
}

std::optional<RefusalReason>
RequestFlow::CheckAdmission(const RequestQueued& aRequest,
                            WorkspaceQueue& aQueue,
                            const Pool& aPool)
{
  if (m_state.draining) {
    return RefusalReason::Draining;
  }
  if (aRequest.deadline <= m_state.now) {
    return RefusalReason::DeadlinePassed;
  }
  const auto total = m_state.fleetView.Total(aRequest.workspace).demand;
  const double here = std::max(1U, aQueue.Demand());
  const double ratio =
    std::max(here / std::max<double>(total, here),
             1.0 / static_cast<double>(m_state.membership.AliveCount()));
  if (!aQueue.TakeRateToken(m_state.now, ratio)) {
    return RefusalReason::RateLimit;
  }
  const double queuedFleet =
    std::max<double>(aQueue.Waiting(), total - aQueue.entitledFleet);
  if (queuedFleet >= aQueue.Spec().maxQueued) {
    return RefusalReason::QueueFull;
  }
  if (aPool.Upstreams().empty()) {
    return RefusalReason::NoUpstream;
  }
  if (m_state.now + aPool.ExpectedWait(aQueue, m_state.now) >
      aRequest.deadline) {
    return RefusalReason::DeadlineUnreachable;
  }
  return std::nullopt;
}

Duration
RequestFlow::RetryAfter(const Pool& aPool, const WorkspaceQueue& aQueue) const
{
  const auto wait = std::clamp(
    aPool.ExpectedWait(aQueue, m_state.now), kMinRetryAfter, kMaxRetryAfter);
  return std::max(wait, aPool.PausedFor(m_state.now));
}

void
RequestFlow::Refuse(RequestId aRequest,
                    RefusalReason aReason,
                    base::Verdict aVerdict,
                    Duration aRetryAfter)
{
  m_state.RecordRequest(DecisionKind::Refused,
                        aRequest,
                        "",
                        "",
                        std::string(kRefusalReasonNames.NameOf(aReason)));
  m_state.AddAction(RefuseRequest{ aRequest, aReason, aVerdict, aRetryAfter });
}

void
RequestFlow::RefuseQueued(RequestId aRequest, RefusalReason aReason)
{
  const auto* request = m_state.requests.Find(aRequest);
  auto& pool = m_state.PoolOf(request->parameters.pool);
  const auto& queue = *pool.Find(request->parameters.workspace);
  RemoveAndRefuse(aRequest, aReason, RetryAfter(pool, queue));
}

void
RequestFlow::RemoveAndRefuse(RequestId aRequest,
                             RefusalReason aReason,
                             Duration aRetryAfter)
{
  const auto* request = m_state.requests.Find(aRequest);
  auto& pool = m_state.PoolOf(request->parameters.pool);
  const auto verdict =
    request->mayHaveRun ? base::Verdict::MayHaveRun : base::Verdict::NotRun;
  pool.Find(request->parameters.workspace)->Remove(aRequest);
  m_state.requests.Erase(aRequest);
  Refuse(aRequest, aReason, verdict, aRetryAfter);
}

void
RequestFlow::RefuseQuarantined()
{
  for (const auto id : m_state.requests.AllQueued()) {
    const auto quarantinedFor =
      m_crashes.QuarantinedFor(m_state.requests.Find(id)->parameters);
    if (quarantinedFor) {
      RemoveAndRefuse(id, RefusalReason::Quarantined, *quarantinedFor);
    }
  }
}

void
RequestFlow::RefuseOverdue()
{
  for (const auto request : m_state.requests.Overdue(m_state.now)) {
    RefuseQueued(request, RefusalReason::DeadlinePassed);
  }
}

void
RequestFlow::RefuseRemovedWorkspaces()
{
  for (auto& [id, pool] : m_state.pools) {
    for (auto& [workspace, queue] : pool.Workspaces()) {
      while (!queue.inDocuments && queue.Waiting() > 0) {
        RefuseQueued(queue.Front(), RefusalReason::UnknownWorkspace);
      }
    }
  }
}

void
RequestFlow::RefuseAllQueued(RefusalReason aReason)
{
  for (const auto request : m_state.requests.AllQueued()) {
    RefuseQueued(request, aReason);
  }
}

void
RequestFlow::Handle(const RequestAbandoned& aEvent)
{
  auto* request = m_state.requests.Find(aEvent.request);
  if (request == nullptr || request->phase != RequestPhase::Queued) {
    return; // a running request ends with AttemptEnded
  }
  auto& pool = m_state.PoolOf(request->parameters.pool);
  auto& queue = *pool.Find(request->parameters.workspace);
  queue.Remove(aEvent.request);
  m_state.RecordRequest(DecisionKind::Abandoned,
                        aEvent.request,
                        queue.Spec().name,
                        "",
                        "caller-gone");
  m_state.requests.Erase(aEvent.request);
}

void
RequestFlow::Handle(const AttemptEnded& aEvent)
{
  auto* request = m_state.requests.Find(aEvent.request);
  if (request == nullptr || request->phase != RequestPhase::Running) {
    m_state.CheckInvariant(
      false, "an attempt ended for a request that is not running");
    return;
  }
  auto& pool = m_state.PoolOf(request->parameters.pool);
  const auto upstream = request->upstream;
  const auto workspace = pool.Find(request->parameters.workspace)->Spec().name;
  pool.FinishAttempt(m_state.requests, aEvent.request, m_state.now);
  UpdateHealth(pool, upstream, aEvent);
  if (aEvent.retryAfter > Duration{}) {
    Pause(pool, upstream, aEvent);
  }
  m_crashes.RecordOutcome(*request, upstream, aEvent.outcome);
  request->mayHaveRun = request->mayHaveRun || !DidNotRun(aEvent.outcome);
  if (auto* lease = std::get_if<LeasePolicy>(&pool.Policy())) {
    lease->borrower.OnSlotFreed(upstream, pool.Needs(), pool.Slots());
  }
  const auto outcome = std::string(kAttemptOutcomeNames.NameOf(aEvent.outcome));
  const bool ended = aEvent.outcome == AttemptOutcome::Completed ||
                     aEvent.outcome == AttemptOutcome::CallerGone;
  if (ended) {
    m_state.RecordRequest(DecisionKind::Ended,
                          aEvent.request,
                          workspace,
                          m_state.NameOf(upstream),
                          outcome);
    m_state.requests.Erase(aEvent.request);
    return;
  }
  if (MayRetry(*request, aEvent.outcome)) {
    request->avoid = upstream;
    m_state.counters.retries++;
    m_state.RecordRequest(DecisionKind::Retried,
                          aEvent.request,
                          workspace,
                          m_state.NameOf(upstream),
                          outcome);
    Requeue(pool, *request);
    RefuseUnreachable(pool);
    return;
  }
  const auto verdict =
    request->mayHaveRun ? base::Verdict::MayHaveRun : base::Verdict::NotRun;
  const auto reason = aEvent.outcome == AttemptOutcome::BrokenLate
                        ? RefusalReason::Broken
                        : RefusalReason::UpstreamFailed;
  m_state.requests.Erase(aEvent.request);
  Refuse(aEvent.request,
         reason,
         verdict,
         std::max(kMinRetryAfter, pool.PausedFor(m_state.now)));
  RefuseUnreachable(pool);
}

void
RequestFlow::Pause(Pool& aPool,
                   UpstreamId aUpstream,
                   const AttemptEnded& aEvent)
{
  aPool.Pause(aUpstream, aEvent.retryAfter, m_state.now);
  m_state.RecordRequest(
    DecisionKind::Paused,
    aEvent.request,
    "",
    m_state.NameOf(aUpstream),
    "retry_after_ms=" + std::to_string(aEvent.retryAfter.count()) +
      " all_paused_ms=" + std::to_string(aPool.PausedFor(m_state.now).count()));
}

//! Refuses the queued requests of a pool whose deadlines pass before any of its
//! upstreams takes requests again.
void
RequestFlow::RefuseUnreachable(const Pool& aPool)
{
  const auto pausedFor = aPool.PausedFor(m_state.now);
  if (pausedFor <= Duration{}) {
    return;
  }
  for (const auto id : m_state.requests.AllQueued()) {
    const auto& parameters = m_state.requests.Find(id)->parameters;
    const bool isOfPool = &m_state.PoolOf(parameters.pool) == &aPool;
    if (isOfPool && parameters.deadline <= m_state.now + pausedFor) {
      RefuseQueued(id, RefusalReason::DeadlineUnreachable);
    }
  }
}

void
RequestFlow::UpdateHealth(Pool& aPool,
                          UpstreamId aUpstream,
                          const AttemptEnded& aEvent)
{
  if (aEvent.outcome == AttemptOutcome::Completed) {
    if (aPool.Health().RecordAnswer(aUpstream)) {
      m_state.poolsStale = true;
      m_state.RecordRequest(DecisionKind::Readmitted,
                            aEvent.request,
                            "",
                            m_state.NameOf(aUpstream),
                            "probe-completed");
    }
    return;
  }
  if (!IsUpstreamFailure(aEvent.outcome)) {
    return;
  }
  const bool ejected = aPool.Health().RecordFailure(aUpstream,
                                                    DidNotRun(aEvent.outcome),
                                                    m_state.now,
                                                    aPool.Upstreams().size(),
                                                    aPool.EjectedCount());
  if (ejected) {
    m_state.poolsStale = true;
    m_state.RecordRequest(DecisionKind::Ejected,
                          aEvent.request,
                          "",
                          m_state.NameOf(aUpstream),
                          "failures-in-a-row");
  }
}

bool
RequestFlow::MayRetry(const RequestState& aRequest, AttemptOutcome aOutcome)
{
  if (aOutcome == AttemptOutcome::BrokenLate || m_state.draining) {
    return false;
  }
  if (m_crashes.QuarantinedFor(aRequest.parameters)) {
    return false;
  }
  const bool safe = DidNotRun(aOutcome) || aRequest.parameters.repeatable;
  const bool inTime = m_state.now < aRequest.parameters.deadline;
  return safe && inTime && aRequest.attempts < kMaxAttempts &&
         m_state.retryBudget.Take();
}

void
RequestFlow::Requeue(Pool& aPool, RequestState& aRequest)
{
  aRequest.phase = RequestPhase::Queued;
  aPool.Find(aRequest.parameters.workspace)
    ->PushFront(aRequest.parameters.request);
}

void
RequestFlow::Dispatch()
{
  if (m_state.holdUntilFresh) {
    return;
  }
  for (auto& [id, pool] : m_state.pools) {
    DispatchPool(pool);
  }
}

void
RequestFlow::DispatchPool(Pool& aPool)
{
  while (const auto placement = aPool.PickNext(m_state.requests, m_state.now)) {
    Send(aPool, *placement);
  }
}

void
RequestFlow::Send(Pool& aPool, const Placement& aPlacement)
{
  auto& request = *m_state.requests.Find(aPlacement.request);
  const auto* host = m_state.hosts.FindUpstream(aPlacement.upstream);
  const bool repeated = request.mayHaveRun && !request.parameters.repeatable;
  m_state.CheckInvariant(!repeated, "a non-repeatable request was sent twice");
  m_state.CheckInvariant(m_state.now < request.parameters.deadline,
                         "a request was sent after its deadline");
  aPool.Start(aPlacement, m_state.requests, m_state.now);
  m_state.counters.overdrafts += aPlacement.overdraft ? 1 : 0;
  TimePoint validUntil = request.parameters.deadline;
  if (const auto* lease = std::get_if<LeasePolicy>(&aPool.Policy())) {
    if (!aPlacement.probe && !aPlacement.overdraft) {
      validUntil = std::min(
        validUntil,
        lease->borrower.ExpiryOf(aPlacement.upstream, m_state.LeaseExpiry()));
    }
  }
  m_state.RecordRequest(DecisionKind::Placed,
                        aPlacement.request,
                        aPool.Find(request.parameters.workspace)->Spec().name,
                        host->name,
                        std::string(aPlacement.why));
  m_state.AddAction(SendRequest{ aPlacement.request,
                                 aPlacement.upstream,
                                 host->address,
                                 request.attempts,
                                 validUntil });
}

}
