#pragma once

#include "decision/internal/corestate.h"
#include "decision/internal/crashflow.h"

namespace hemlockgauge::decision {

//! Handles a request from its arrival to its end: admission or refusal,
//! placement, retries.
class RequestFlow
{
public:
  RequestFlow(CoreState& aState, CrashFlow& aCrashes)
    : m_state(aState)
    , m_crashes(aCrashes)
  {
  }

  void Handle(const RequestQueued& aEvent);
  void Handle(const RequestAbandoned& aEvent);
  void Handle(const AttemptEnded& aEvent);
  void RefuseOverdue();
  //! Refuses queued requests whose workspace was removed from the documents.
  void RefuseRemovedWorkspaces();
  void RefuseAllQueued(RefusalReason aReason);
  //! Refuses queued requests that have been quarantined in the meantime.
  void RefuseQuarantined();
  //! Sends all queued requests that may run now.
  void Dispatch();

private:
  //! Returns why a request is not admitted, or nothing if it is.
  std::optional<RefusalReason> CheckAdmission(const RequestQueued& aRequest,
                                              WorkspaceQueue& aQueue,
                                              const Pool& aPool);
  void Refuse(RequestId aRequest,
              RefusalReason aReason,
              base::Verdict aVerdict,
              Duration aRetryAfter);
  //! Refuses a queued request; the caller may retry after the expected wait.
  void RefuseQueued(RequestId aRequest, RefusalReason aReason);
  //! The same, with a given time to retry after.
  void RemoveAndRefuse(RequestId aRequest,
                       RefusalReason aReason,
                       Duration aRetryAfter);
  void DispatchPool(Pool& aPool);
  void Send(Pool& aPool, const Placement& aPlacement);
  void UpdateHealth(Pool& aPool,
                    UpstreamId aUpstream,
                    const AttemptEnded& aEvent);
  void Pause(Pool& aPool, UpstreamId aUpstream, const AttemptEnded& aEvent);
  void RefuseUnreachable(const Pool& aPool);
  bool MayRetry(const RequestState& aRequest, AttemptOutcome aOutcome);
  void Requeue(Pool& aPool, RequestState& aRequest);
  Duration RetryAfter(const Pool& aPool, const WorkspaceQueue& aQueue) const;

  CoreState& m_state;
  CrashFlow& m_crashes;
};

}
