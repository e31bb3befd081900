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

class RequestBook;
struct RequestState;

//! What may run where next.
struct Placement
{
  RequestId request{};
  UpstreamId upstream{};
  std::string_view why;
  bool probe = false;
  bool overdraft = false;
};

//! The workspaces and slots of one pool of upstreams, as this router sees
//! them: shares over the fleet become local weights, and these the order.
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

  void RefreshShares(FleetView& aView, TimePoint aNow);
  void Enqueue(WorkspaceQueue& aQueue, RequestId aRequest);
  std::optional<Placement> PickNext(RequestBook& aBook, TimePoint aNow);
  void Start(const Placement& aPlacement, RequestBook& aBook, TimePoint aNow);
  void FinishAttempt(RequestBook& aBook, RequestId aRequest, TimePoint aNow);

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
  double SecondsBehind(WorkspaceId aWorkspace) const
  {
    return m_lag.SecondsBehind(aWorkspace);
  }
  std::size_t EjectedCount() const;
  //! How long until a new request of this workspace would start.
  Duration ExpectedWait(const WorkspaceQueue& aQueue) const;

private:
  bool IsPlain() const;
  void FollowLag(const std::vector<WorkspaceQueue*>& aActive,
                 FleetView& aView,
                 TimePoint aNow);
  void CorrectByLag(std::vector<WorkspaceQueue*>& aActive,
                    FleetView& aView,
                    TimePoint aNow);
  void SmoothLight(double aLight, TimePoint aNow);
  //! Slots it would have here if it filled all that it may.
  double SlotsWithinReach(const WorkspaceQueue& aQueue) const;
  double PartHere(const WorkspaceQueue& aQueue) const;
  WorkspaceQueue* NextQueue();
  std::optional<Placement> PickProbe(const RequestState& aState,
                                     TimePoint aNow) const;
  bool MayOverdraw() const;

  SlotPolicy m_policy;
  std::map<WorkspaceId, WorkspaceQueue> m_queues;
  std::vector<LentUpstream> m_upstreams;
  SlotTable m_slots;
  UpstreamHealth m_health;
  LagTracker m_lag;
  std::uint32_t m_concurrency = 1;
  double m_fairness = 0.5;
  double m_capacity = 0;
  double m_entitledFull = 0;
  double m_lightMean = 0;
  double m_lightNow = 0;
  TimePoint m_lightAt{};
  double m_activeShares = 0;
  double m_allDemand = 0;
  double m_systemTime = 0;
  bool m_contended = false;
};

}
