#include "decision/decisioncore.h"

#include "decision/decisionconstants.h"
#include "decision/internal/corestate.h"
#include "decision/internal/crashflow.h"
#include "decision/internal/peerflow.h"
#include "decision/internal/requestflow.h"
#include "decision/internal/slotflow.h"

namespace hemlockgauge::decision {

//! Holds the shared state and the flows, and runs the flows in a fixed order
//! for each event.
class CoreParts
{
public:
  explicit CoreParts(const CoreSettings& aSettings)
    : m_state(aSettings)
    , m_slots(m_state)
    , m_peers(m_state, m_slots)
    , m_crashes(m_state)
    , m_requests(m_state, m_crashes)
  {
  }

  std::vector<Action> Step(TimePoint aNow, const Event& aEvent)
  {
    DetectPause(aNow);
    m_state.now = aNow;
    m_state.outbox.Advance(aNow);
    m_state.actions.clear();
    m_requests.RefuseOverdue();
    std::visit([this](const auto& aOne) { Handle(aOne); }, aEvent);
    m_slots.RebuildIfStale();
    m_requests.RefuseRemovedWorkspaces();
    //! NOTE requests are dispatched before the review as well, so that slots
    //! are requested only for those that do not fit into the slots held.
    m_requests.Dispatch();
    m_slots.Review();
    m_requests.Dispatch();
    m_peers.Flush();
    if (m_state.draining && m_state.requests.Size() == 0 && !m_drainedSent) {
      m_drainedSent = true;
      m_state.AddAction(Drained{});
    }
    return std::move(m_state.actions);
  }

  CoreStatus Status() const;

private:
  void Handle(const Tick&)
  {
    m_slots.RefreshShares();
    m_peers.Tick();
    if (m_crashes.Tick(m_peers.Neighbours())) {
      m_requests.RefuseQuarantined();
    }
    EndHold();
  }
  void Handle(const RequestQueued& aEvent) { m_requests.Handle(aEvent); }
  void Handle(const RequestAbandoned& aEvent) { m_requests.Handle(aEvent); }
  void Handle(const AttemptEnded& aEvent)
  {
    if (aEvent.upstreamLeaving) {
      if (const auto* request = m_state.requests.Find(aEvent.request)) {
        m_peers.MarkLeaving(request->upstream);
      }
    }
    m_requests.Handle(aEvent);
  }
  void Handle(const FrameReceived& aEvent)
  {
    m_crashes.Handle(aEvent.frame.crashUpdates);
    m_peers.Handle(aEvent);
  }
  void Handle(const UpstreamChecked& aEvent) { m_crashes.Handle(aEvent); }
  void Handle(const LinkLost& aEvent) { m_peers.Handle(aEvent); }
  void Handle(const DocumentRead& aEvent) { m_peers.Handle(aEvent); }
  void Handle(const HostsRead& aEvent) { m_peers.Handle(aEvent); }
  void Handle(const LoadReported& aEvent)
  {
    if (aEvent.leaving) {
      m_peers.MarkLeaving(aEvent.upstream);
    }
    m_slots.Handle(aEvent);
  }
  void Handle(const DrainStarted&)
  {
    m_state.draining = true;
    m_requests.RefuseAllQueued(RefusalReason::Draining);
    m_peers.Leave();
  }

  //! Detects that the process was paused: more than kPauseThreshold passed
  //! since the last step, so leases, members and documents may be outdated.
  void DetectPause(TimePoint aNow)
  {
    const bool paused = m_started && aNow - m_state.now > kPauseThreshold;
    m_started = true;
    if (!paused) {
      return;
    }
    m_holdUntil = aNow + kPauseThreshold;
    m_state.holdUntilFresh = m_state.membership.AliveCount() > 1;
    const auto pause = (aNow - m_state.now).count();
    m_state.now = aNow;
    m_peers.ResumeAfterPause();
    m_pauseRecord = "paused_ms=" + std::to_string(pause);
  }

  //! Allows dispatching again after a pause, as soon as a frame of a peer was
  //! received or kPauseThreshold has passed without one.
  void EndHold()
  {
    if (!m_pauseRecord.empty()) {
      m_state.Record(DecisionKind::ResumedAfterPause, m_pauseRecord);
      m_pauseRecord.clear();
    }
    const bool heard = m_peers.HeardSincePause();
    if (m_state.holdUntilFresh && (heard || m_state.now >= m_holdUntil)) {
      m_state.holdUntilFresh = false;
    }
  }

  CoreState m_state;
  SlotFlow m_slots;
  PeerFlow m_peers;
  CrashFlow m_crashes;
  RequestFlow m_requests;
  bool m_started = false;
  bool m_drainedSent = false;
  TimePoint m_holdUntil{};
  std::string m_pauseRecord;
};

CoreStatus
CoreParts::Status() const
{
  CoreStatus status;
  status.draining = m_state.draining;
  status.documents = m_state.configuration.Versions();
  status.counters = m_state.counters;
  for (const auto& hint : m_state.slotOwner.FreeSlots()) {
    status.freeSlotsOwned += hint.free;
  }
  for (const auto& [poolId, pool] : m_state.pools) {
    for (const auto& [id, queue] : pool.Workspaces()) {
      status.queued += queue.Waiting();
      status.running += queue.Running();
      status.workspaces.push_back(
        { queue.Service(),
          queue.Spec().name,
          id,
          queue.Waiting(),
          queue.Running(),
          queue.demandFleet,
          queue.entitledFleet,
          queue.entitledHere,
          std::chrono::duration<double>(queue.ServedAt(m_state.now)).count(),
          pool.LagSeconds(id) });
    }
  }
  status.members.push_back({ m_state.settings.self.name,
                             m_state.settings.self.zone,
                             m_state.membership.OwnNotice().state,
                             m_state.settings.self.address });
  for (const auto& [router, member] : m_state.membership.Others()) {
    const auto* host = m_state.hosts.FindRouter(router);
    status.members.push_back(
      { m_state.NameOf(router),
        member.zone,
        member.state,
        host == nullptr ? base::Address{} : host->address });
  }
  for (const auto& [upstream, host] : m_state.hosts.Upstreams()) {
    UpstreamStatus one{ host.name, host.pool, host.state, false, 0, 0 };
    for (const auto& [poolId, pool] : m_state.pools) {
      const auto slot = pool.Slots().All().find(upstream);
      if (slot != pool.Slots().All().end()) {
        one.ejected = pool.Health().IsEjected(upstream);
        one.held = slot->second.limit;
        one.inUse = slot->second.inUse;
      }
    }
    status.upstreams.push_back(one);
  }
  return status;
}

DecisionCore::DecisionCore(const CoreSettings& aSettings)
  : m_parts(std::make_unique<CoreParts>(aSettings))
{
}

DecisionCore::~DecisionCore() = default;

std::vector<Action>
DecisionCore::Step(TimePoint aNow, const Event& aEvent)
{
  return m_parts->Step(aNow, aEvent);
}

CoreStatus
DecisionCore::Status() const
{
  return m_parts->Status();
}

}
