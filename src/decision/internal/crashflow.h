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
  void Ended(const RequestState& aRequest,
             UpstreamId aUpstream,
             AttemptOutcome aOutcome);
  //! Returns for how long the request is quarantined, or nothing if it may run.
  std::optional<Duration> HeldFor(const RequestQueued& aRequest) const;

  void Take(const UpstreamChecked& aEvent);
  void Take(const quarantine::CrashNews& aNews);
  //! Starts the checks of upstreams that are due and sends updates to
  //! aNeighbours. Returns true if a request was quarantined since the last
  //! call.
  bool Tick(const std::vector<RouterId>& aNeighbours);

private:
  void Tell(const std::vector<RouterId>& aNeighbours,
            const quarantine::CrashNews& aNews);
  bool NoteChanges();

  CoreState& m_state;
  TimePoint m_toldInTurnAt{};
};

}
