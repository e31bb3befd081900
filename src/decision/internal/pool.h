#pragma once

#include "decision/decisiontypes.h"
#include "decision/internal/fleetview.h"
#include "decision/internal/lagtracker.h"
#include "decision/internal/slotpolicy.h"
#include "decision/internal/slottable.h"
#include "decision/internal/upstreamhealth.h"
#include "decision/internal/workspacequeue.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::decision {

class RequestTable;
struct RequestState;

//! The next request to run and the upstream to run it on.
struct Placement
{
  RequestId request{};
  UpstreamId upstream{};
  std::string_view why;
  bool probe = false;     //!< of an ejected upstream
  bool overdraft = false; //!< beyond the slots held
};

//! The workspaces and slots of one pool of upstreams at this router. Shares
//! over the fleet are converted to local weights, and requests are dispatched
//! in the order of weighted service.
//!
//! Workspaces whose demand is below their share are called light here, the
//! others backlogged.
class Pool
{
public:
  explicit Pool(document::PolicyKind aPolicy);

  void Configure(
    const std::vector<std::shared_ptr<const document::ServiceDocument>>&
      aServices);
  void SetUpstreams(std::vector<LentUpstream> aUpstreams,
                    std::size_t aRank,
                    std::size_t aRouters);
  WorkspaceQueue* Find(WorkspaceId aWorkspace);
  std::map<WorkspaceId, WorkspaceQueue>& Workspaces() { return m_queues; }
  const std::map<WorkspaceId, WorkspaceQueue>& Workspaces() const
  {
    return m_queues;
  }

  //! Recomputes demand, entitlement and lag of all workspaces.
  void RefreshShares(FleetView& aView, TimePoint aNow);
  void Enqueue(WorkspaceQueue& aQueue, RequestId aRequest);
  //! Keeps requests away from an upstream for aRetryAfter.
  void Pause(UpstreamId aUpstream, Duration aRetryAfter, TimePoint aNow);
  //! Time until one of the upstreams that are not ejected takes requests again;
  //! 0 if one does now.
  Duration PausedFor(TimePoint aNow) const;
  //! Returns the next request that may run now, if any.
  std::optional<Placement> PickNext(RequestTable& aRequests, TimePoint aNow);
  void Start(const Placement& aPlacement,
             RequestTable& aRequests,
             TimePoint aNow);
  void FinishAttempt(RequestTable& aRequests,
                     RequestId aRequest,
                     TimePoint aNow);

  SlotNeeds Needs() const;
  SlotTable& Slots() { return m_slots; }
  const SlotTable& Slots() const { return m_slots; }
  SlotPolicy& Policy() { return m_policy; }
  const SlotPolicy& Policy() const { return m_policy; }
  UpstreamHealth& Health() { return m_health; }
  const UpstreamHealth& Health() const { return m_health; }
  const std::vector<LentUpstream>& Upstreams() const { return m_upstreams; }
  const LentUpstream* FindUpstream(UpstreamId aUpstream) const;
  std::uint32_t ConcurrencyPerUpstream() const { return m_concurrency; }
  double Capacity() const { return m_capacity; }
  double LagSeconds(WorkspaceId aWorkspace) const
  {
    return m_lag.LagSeconds(aWorkspace);
  }
  std::size_t EjectedCount() const;
  //! Estimates how long a new request of a workspace would wait.
  Duration ExpectedWait(const WorkspaceQueue& aQueue, TimePoint aNow) const;

private:
  bool IsBaseline() const;
  void UpdateLag(const std::vector<WorkspaceQueue*>& aActive,
                 FleetView& aView,
                 TimePoint aNow);
  void CorrectByLag(std::vector<WorkspaceQueue*>& aActive,
                    FleetView& aView,
                    TimePoint aNow);
  void SmoothLightDemand(double aEntitledLight, TimePoint aNow);
  //! Slots of this router that the workspace could use if its demand were
  //! unlimited.
  double AttainableSlots(const WorkspaceQueue& aQueue) const;
  //! Ratio of the workspace's demand in the fleet that is at this router.
  double LocalDemandRatio(const WorkspaceQueue& aQueue) const;
  void EndPauses(TimePoint aNow);
  WorkspaceQueue* NextQueue();
  std::optional<Placement> PickProbe(const RequestState& aState,
                                     TimePoint aNow) const;
  bool MayOverdraw() const;

  SlotPolicy m_policy;
  std::map<WorkspaceId, WorkspaceQueue> m_queues;
  std::vector<LentUpstream> m_upstreams;
  SlotTable m_slots;
  std::map<UpstreamId, TimePoint> m_pausedUntil;
  UpstreamHealth m_health;
  LagTracker m_lag;
  std::uint32_t m_concurrency = 1;
  double m_fairness = 0.5;         //!< 0 to 1
  double m_capacity = 0;           //!< slots, without ejected upstreams
  double m_entitledBacklogged = 0; //!< slots here of backlogged workspaces
  double m_entitledLightMean = 0;  //!< slots here of light workspaces, smoothed
  double m_entitledLight = 0;      //!< the same, at the last refresh
  TimePoint m_entitledLightAt{};   //!< time of the last refresh
  double m_activeShares = 0;       //!< sum over workspaces with demand
  double m_totalDemand = 0;        //!< of the fleet, in slots
  double m_systemVirtualTime = 0;  //!< highest one of a dispatched queue
  bool m_contended = false;
};

}
