#pragma once

#include "decision/internal/corestate.h"

#include <optional>

namespace hemlockgauge::decision {

//! Requests under which upstreams crash: whom they are kept from, and what
//! routers tell each other of them.
class CrashFlow
{
public:
  explicit CrashFlow(CoreState& aState)
    : m_state(aState)
  {
  }

  //! An attempt at aUpstream ended so.
  void Ended(const RequestState& aRequest,
             UpstreamId aUpstream,
             AttemptOutcome aOutcome);
  //! For how long the request goes to no upstream; nothing: it may.
  std::optional<Duration> HeldFor(const RequestQueued& aRequest) const;

  void Take(const UpstreamChecked& aEvent);
  void Take(const quarantine::CrashUpdates& aNews);
  //! Looks at upstreams that are due, and tells aNeighbours what is new.
  //! Returns true if a request was quarantined since the last time.
  bool Tick(const std::vector<RouterId>& aNeighbours);

private:
  void Tell(const std::vector<RouterId>& aNeighbours,
            const quarantine::CrashUpdates& aNews);
  bool NoteChanges();

  CoreState& m_state;
  TimePoint m_toldInTurnAt{};
};

}
