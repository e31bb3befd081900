#pragma once

#include "decision/internal/corestate.h"
#include "decision/internal/crashflow.h"

namespace hemlockgauge::decision {

//! The life of a request: admitted or refused, placed, retried, ended.
class RequestFlow
{
public:
  RequestFlow(CoreState& aState, CrashFlow& aCrashes)
    : m_state(aState)
    , m_crashes(aCrashes)
  {
  }

  void Take(const RequestQueued& aEvent);
  void Take(const RequestAbandoned& aEvent);
  void Take(const AttemptEnded& aEvent);
  void RefuseOverdue();
  //! Requests whose workspace left the documents get an answer at once.
  void RefuseOrphans();
  void RefuseAllQueued(RefusalReason aReason);
  //! Requests that wait, and under which upstreams turned out to crash.
  void RefuseQuarantined();
  //! Starts all that may start now.
  void Dispatch();

private:
  std::optional<RefusalReason> WhyNotAdmitted(const RequestQueued& aRequest,
                                              WorkspaceQueue& aQueue,
                                              const Pool& aPool);
  void Refuse(RequestId aRequest,
              RefusalReason aReason,
              base::Verdict aVerdict,
              Duration aRetryAfter);
  void RefuseKnown(RequestId aRequest, RefusalReason aReason);
  void RefuseWaiting(RequestId aRequest,
                     RefusalReason aReason,
                     Duration aRetryAfter);
  void DispatchPool(Pool& aPool);
  void Send(Pool& aPool, const Placement& aPlacement);
  void CountHealth(Pool& aPool,
                   UpstreamId aUpstream,
                   const AttemptEnded& aEvent);
  bool MayRetry(const RequestState& aRequest, AttemptOutcome aOutcome);
  void Requeue(Pool& aPool, RequestState& aRequest);
  Duration RetryAfter(const Pool& aPool, const WorkspaceQueue& aQueue) const;

  CoreState& m_state;
  CrashFlow& m_crashes;
};

}
