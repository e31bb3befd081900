#pragma once

#include "decision/internal/corestate.h"

#include <optional>

namespace hemlockgauge::decision {

//! Quarantines requests that crash upstreams: checks upstreams after broken
//! connections and exchanges the observed crashes with other routers.
class CrashFlow
{
public:
  explicit CrashFlow(CoreState& aState)
    : m_state(aState)
  {
  }

  //! Records the outcome of an attempt at aUpstream.
  void RecordOutcome(const RequestState& aRequest,
                     UpstreamId aUpstream,
                     AttemptOutcome aOutcome);
  //! Returns for how long the request is quarantined, or nothing if it may run.
  std::optional<Duration> QuarantinedFor(const RequestQueued& aRequest) const;

  void Handle(const UpstreamChecked& aEvent);
  void Handle(const quarantine::CrashUpdates& aUpdates);
  //! Starts the checks of upstreams that are due and sends updates to
  //! aNeighbours. Returns true if a request was quarantined since the last
  //! call.
  bool Tick(const std::vector<RouterId>& aNeighbours);

private:
  void SendUpdates(const std::vector<RouterId>& aNeighbours,
                   const quarantine::CrashUpdates& aUpdates);
  bool RecordChanges();

  CoreState& m_state;
  TimePoint m_listSentAt{};
};

}
