#include "decision/internal/pool.h"

#include "decision/decisionconstants.h"
#include "decision/internal/entitlement.h"
#include "decision/internal/requesttable.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::decision {

namespace {

//! Maximum lead of a workspace in weighted service, so that a weight that was
//! estimated too low cannot lock it out.
constexpr double kMaxVirtualTimeLeadMs = 20000;
//! A correction by lag multiplies or divides an entitlement by at most one plus
//! this value times the fairness weight (0 to 1).
constexpr double kMaxLagCorrection = 2.0;
//! In a contended pool, leases cover this ratio of the mean light demand, and
//! overdrafts cover the rest. Overdrafts allow for kLightPeakDeviations
//! standard deviations of a Poisson distributed number of requests.
constexpr double kLightLeasedRatio = 0.8;
constexpr double kLightPeakDeviations = 3.0;
//! In a pool that is not contended, a router holds slots for its entitlement
//! times this factor, so that the next request finds a free slot.
constexpr double kSlackFactor = 1.25;
constexpr double kLightSmoothingSeconds = 5.0;
constexpr double kMinOverdrafts = 2.0;
//! Dead band of leases as a ratio of the entitlement, for fairness weights of 0
//! and 1.
constexpr double kMaxDeadBandRatio = 0.15;
constexpr double kMinDeadBandRatio = 0.03;

}

Pool::Pool(document::PolicyKind aPolicy)
  : m_policy(MakeSlotPolicy(aPolicy))
{
}

bool
Pool::IsBaseline() const
{
  return !std::holds_alternative<LeasePolicy>(m_policy);
}

void
Pool::Configure(
  const std::vector<std::shared_ptr<const document::ServiceDocument>>&
    aServices)
{
  std::map<WorkspaceId, WorkspaceQueue> kept;
  m_concurrency = aServices.empty() ? 0 : UINT32_MAX;
  std::uint32_t fairness = 0;
  for (const auto& service : aServices) {
    m_concurrency = std::min(m_concurrency, service->concurrency);
    fairness = std::max(fairness, service->fairnessWeight);
    for (const auto& workspace : service->workspaces) {
      auto known = m_queues.extract(workspace.id);
      auto& queue = kept[workspace.id];
      if (!known.empty()) {
        queue = std::move(known.mapped());
      }
      queue.Configure(service->name, workspace);
      queue.inDocuments = true;
    }
  }
  //! NOTE a workspace that was removed from the documents is kept until its
  //! running requests have ended; its queued requests are refused by
  //! RequestFlow::RefuseRemovedWorkspaces.
  for (auto& [id, queue] : m_queues) {
    if (queue.Demand() > 0) {
      queue.inDocuments = false;
      kept.emplace(id, std::move(queue));
    }
  }
  m_queues = std::move(kept);
  m_fairness = fairness / 100.0;
}

void
Pool::SetUpstreams(std::vector<LentUpstream> aUpstreams,
                   std::size_t aRank,
                   std::size_t aRouters)
{
  m_upstreams = std::move(aUpstreams);
  for (auto& [id, slot] : m_slots.All()) {
    slot.closed = FindUpstream(id) == nullptr || m_health.IsEjected(id);
  }
  for (const auto& lent : m_upstreams) {
    m_slots.At(lent.upstream).closed = m_health.IsEjected(lent.upstream);
  }
  if (auto* lease = std::get_if<LeasePolicy>(&m_policy)) {
    lease->borrower.SetUpstreams(m_upstreams, m_slots);
  } else if (std::holds_alternative<EqualPartPolicy>(m_policy)) {
    SetEqualParts(m_upstreams, aRank, aRouters, m_slots);
  }
}

WorkspaceQueue*
Pool::Find(WorkspaceId aWorkspace)
{
  const auto found = m_queues.find(aWorkspace);
  return found == m_queues.end() ? nullptr : &found->second;
}

const LentUpstream*
Pool::FindUpstream(UpstreamId aUpstream) const
{
  for (const auto& lent : m_upstreams) {
    if (lent.upstream == aUpstream) {
      return &lent;
    }
  }
  return nullptr;
}

std::size_t
Pool::EjectedCount() const
{
  return static_cast<std::size_t>(std::count_if(
    m_upstreams.begin(), m_upstreams.end(), [&](const LentUpstream& aOne) {
      return m_health.IsEjected(aOne.upstream);
    }));
}

void
Pool::RefreshShares(FleetView& aView, TimePoint aNow)
{
  m_capacity = 0;
  for (const auto& lent : m_upstreams) {
    m_capacity += m_health.IsEjected(lent.upstream) ? 0 : lent.capacity;
  }
  std::vector<WorkspaceQueue*> active;
  std::vector<Claimant> claimants;
  m_activeShares = 0;
  m_totalDemand = 0;
  for (auto& [id, queue] : m_queues) {
    const auto served =
      static_cast<std::uint32_t>(queue.ServedAt(aNow).count() / kServedUnitMs);
    aView.SetOwn(id, queue.Demand(), served, aNow);
    queue.demandFleet = aView.Total(id).demand;
    queue.entitledFleet = 0;
    queue.entitledHere = 0;
    queue.backlogged = IsBaseline();
    if (queue.demandFleet == 0) {
      m_lag.Observe(id, aView.Total(id), 0, m_capacity, false, aNow);
      continue;
    }
    double demand = queue.demandFleet;
    if (queue.Spec().maxInFlight > 0) {
      demand = std::min<double>(demand, queue.Spec().maxInFlight);
    }
    m_totalDemand += demand;
    m_activeShares += queue.Spec().share;
    active.push_back(&queue);
    claimants.push_back({ queue.Spec().share, demand });
  }
  m_contended = m_totalDemand > m_capacity;
  const auto parts = MaxMinFairShares(claimants, m_capacity);
  for (std::size_t i = 0; i < active.size(); ++i) {
    active[i]->entitledFleet = parts[i];
    const bool unmet = claimants[i].demand > parts[i] * kMinBacklogRatio;
    active[i]->backlogged = active[i]->backlogged || unmet;
  }
  if (!IsBaseline()) {
    CorrectByLag(active, aView, aNow);
  }
  double entitledBacklogged = 0;
  double entitledLight = 0;
  for (auto* queue : active) {
    queue->entitledHere = IsBaseline()
                            ? queue->Spec().share
                            : queue->entitledFleet * LocalDemandRatio(*queue);
    (queue->backlogged ? entitledBacklogged : entitledLight) +=
      queue->entitledHere;
  }
  m_entitledBacklogged = entitledBacklogged;
  SmoothLightDemand(entitledLight, aNow);
}

//! NOTE the demand of light workspaces changes with every request; leases that
//! followed it would cost a message per request. Leases follow its mean, and
//! overdrafts cover the peaks.
void
Pool::SmoothLightDemand(double aEntitledLight, TimePoint aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - m_entitledLightAt).count();
  m_entitledLightAt = aNow;
  const double gain = 1.0 - std::exp(-seconds / kLightSmoothingSeconds);
  m_entitledLightMean += (aEntitledLight - m_entitledLightMean) * gain;
  m_entitledLight = aEntitledLight;
}

double
Pool::LocalDemandRatio(const WorkspaceQueue& aQueue) const
{
  const double here = aQueue.Demand();
  const double fleet = std::max<double>(aQueue.demandFleet, here);
  return fleet > 0 ? here / fleet : 0;
}

//! Updates the lag of all workspaces and, at the root, passes it to the fleet
//! view.
//! NOTE only the root of the tree computes the lag, and the others adopt it. If
//! each router computed it, the results would differ by the time at which each
//! received the totals, and the entitlements of all routers would add up to
//! more slots than the pool has.
void
Pool::UpdateLag(const std::vector<WorkspaceQueue*>& aActive,
                FleetView& aView,
                TimePoint aNow)
{
  std::map<WorkspaceId, double> entitled;
  for (const auto* queue : aActive) {
    const auto id = queue->Spec().id;
    const auto total = aView.Total(id);
    if (!aView.IsRoot()) {
      m_lag.Adopt(id, total.lagMs / 1000.0);
      continue;
    }
    m_lag.Observe(
      id, total, queue->entitledFleet, m_capacity, queue->backlogged, aNow);
    if (queue->backlogged) {
      entitled[id] = queue->entitledFleet;
    }
  }
  m_lag.SubtractMean(entitled);
  for (const auto& [id, slots] : entitled) {
    aView.SetLag(id, static_cast<std::int32_t>(1000 * m_lag.LagSeconds(id)));
  }
}

//! Shifts entitlements towards workspaces that are behind their share; the sum
//! over the backlogged workspaces does not change.
void
Pool::CorrectByLag(std::vector<WorkspaceQueue*>& aActive,
                   FleetView& aView,
                   TimePoint aNow)
{
  const double maxFactor = 1.0 + kMaxLagCorrection * m_fairness;
  UpdateLag(aActive, aView, aNow);
  double before = 0;
  double after = 0;
  std::vector<double> corrected(aActive.size(), 0);
  for (std::size_t i = 0; i < aActive.size(); ++i) {
    auto& queue = *aActive[i];
    const auto id = queue.Spec().id;
    if (!queue.backlogged) {
      continue;
    }
    const double factor =
      std::clamp(1.0 + m_lag.LagSeconds(id) / kLagHorizonSeconds,
                 1.0 / maxFactor,
                 maxFactor);
    corrected[i] = queue.entitledFleet * factor;
    before += queue.entitledFleet;
    after += corrected[i];
  }
  for (std::size_t i = 0; i < aActive.size(); ++i) {
    if (aActive[i]->backlogged && after > 0) {
      aActive[i]->entitledFleet = corrected[i] * before / after;
    }
  }
}

void
Pool::Enqueue(WorkspaceQueue& aQueue, RequestId aRequest)
{
  if (aQueue.Demand() == 0) {
    aQueue.LiftVirtualTime(m_systemVirtualTime);
  }
  aQueue.Push(aRequest);
}

//! Returns the queue to dispatch from: light workspaces come before backlogged
//! ones, then the one with the least weighted service. Queues at their limit of
//! requests in flight are skipped.
WorkspaceQueue*
Pool::NextQueue()
{
  WorkspaceQueue* best = nullptr;
  for (auto& [id, queue] : m_queues) {
    if (queue.Waiting() == 0) {
      continue;
    }
    const auto maxInFlight = queue.Spec().maxInFlight;
    const auto maxInFlightHere =
      std::max(1.0, std::floor(maxInFlight * LocalDemandRatio(queue) + 1e-9));
    if (maxInFlight > 0 && queue.Running() >= maxInFlightHere) {
      continue;
    }
    const auto rank = std::pair(queue.backlogged, queue.VirtualTime());
    if (best == nullptr ||
        rank < std::pair(best->backlogged, best->VirtualTime())) {
      best = &queue;
    }
  }
  return best;
}

bool
Pool::MayOverdraw() const
{
  const double peak = kLightPeakDeviations * std::sqrt(m_entitledLightMean);
  const double maxOverdrafts =
    std::max(kMinOverdrafts, m_slots.TotalLimit() * kOverdraftRatio + peak);
  return m_slots.OverdraftCount() < static_cast<std::uint32_t>(maxOverdrafts);
}

void
Pool::Pause(UpstreamId aUpstream, Duration aRetryAfter, TimePoint aNow)
{
  auto& until = m_pausedUntil[aUpstream];
  until = std::max(until, aNow + std::min(aRetryAfter, kMaxUpstreamPause));
  m_slots.At(aUpstream).paused = true;
}

void
Pool::EndPauses(TimePoint aNow)
{
  std::erase_if(m_pausedUntil, [&](const auto& aEntry) {
    const bool isOver = aNow >= aEntry.second;
    if (isOver) {
      m_slots.At(aEntry.first).paused = false;
    }
    return isOver;
  });
}

Duration
Pool::PausedFor(TimePoint aNow) const
{
  auto least = Duration::max();
  for (const auto& lent : m_upstreams) {
    if (m_health.IsEjected(lent.upstream)) {
      continue;
    }
    const auto found = m_pausedUntil.find(lent.upstream);
    if (found == m_pausedUntil.end() || aNow >= found->second) {
      return Duration{};
    }
    least = std::min(least, found->second - aNow);
  }
  return least == Duration::max() ? Duration{} : least;
}

std::optional<Placement>
Pool::PickProbe(const RequestState& aState, TimePoint aNow) const
{
  for (const auto& lent : m_upstreams) {
    const bool safe = aState.parameters.repeatable ||
                      m_health.LastFailedBeforeRunning(lent.upstream);
    const bool isPaused = m_pausedUntil.contains(lent.upstream);
    if (safe && !isPaused && m_health.MayProbe(lent.upstream, aNow)) {
      return Placement{
        aState.parameters.request, lent.upstream, "probe", true, false
      };
    }
  }
  return std::nullopt;
}

std::optional<Placement>
Pool::PickNext(RequestTable& aRequests, TimePoint aNow)
{
  EndPauses(aNow);
  auto* queue = NextQueue();
  if (queue == nullptr) {
    return std::nullopt;
  }
  const auto request = queue->Front();
  const auto* state = aRequests.Find(request);
  if (auto probe = PickProbe(*state, aNow)) {
    return probe;
  }
  auto upstream = m_slots.FindMostFree(state->avoid);
  if (!upstream) {
    upstream = m_slots.FindMostFree(std::nullopt);
  }
  if (upstream) {
    const auto* why =
      queue->backlogged ? "least-weighted-service" : "under-its-share";
    return Placement{ request, *upstream, why, false, false };
  }
  if (!queue->backlogged && MayOverdraw()) {
    const auto overdrawn = m_slots.FindOverdraft(state->avoid);
    if (overdrawn) {
      return Placement{ request, *overdrawn, "overdraft", false, true };
    }
  }
  return std::nullopt;
}

void
Pool::Start(const Placement& aPlacement,
            RequestTable& aRequests,
            TimePoint aNow)
{
  auto& state = *aRequests.Find(aPlacement.request);
  auto& queue = m_queues.at(state.parameters.workspace);
  queue.Remove(aPlacement.request);
  m_systemVirtualTime = std::max(m_systemVirtualTime, queue.VirtualTime());
  state.estimatedServiceTime = queue.StartRequest(aNow);
  queue.LowerVirtualTime(m_systemVirtualTime + kMaxVirtualTimeLeadMs);
  state.phase = RequestPhase::Running;
  state.startedAt = aNow;
  state.upstream = aPlacement.upstream;
  state.attempts++;
  m_slots.At(aPlacement.upstream).inUse++;
  if (aPlacement.probe) {
    m_health.RecordProbe(aPlacement.upstream, aNow);
  }
}

void
Pool::FinishAttempt(RequestTable& aRequests, RequestId aRequest, TimePoint aNow)
{
  const auto& state = *aRequests.Find(aRequest);
  m_queues.at(state.parameters.workspace)
    .EndRequest(state.startedAt, aNow, state.estimatedServiceTime);
  m_slots.At(state.upstream).inUse--;
}

SlotNeeds
Pool::Needs() const
{
  SlotNeeds needs;
  needs.entitled =
    m_contended ? m_entitledBacklogged + kLightLeasedRatio * m_entitledLightMean
                : (m_entitledBacklogged +
                   std::max(m_entitledLightMean, m_entitledLight)) *
                      kSlackFactor +
                    1;
  needs.contended = m_contended;
  needs.deadBandRatio =
    kMaxDeadBandRatio - (kMaxDeadBandRatio - kMinDeadBandRatio) * m_fairness;
  for (const auto& [id, queue] : m_queues) {
    needs.queued += queue.Waiting();
    needs.lightWaiting =
      needs.lightWaiting || (!queue.backlogged && queue.Waiting() > 0);
  }
  return needs;
}

//! NOTE the entitlement is only the lower bound, because it follows the demand:
//! a burst would be measured by what the workspace needed before it.
double
Pool::AttainableSlots(const WorkspaceQueue& aQueue) const
{
  const double share = aQueue.Spec().share;
  const double shares = std::max(m_activeShares, share);
  const double others = m_totalDemand - aQueue.demandFleet;
  const double fleet =
    std::max(m_capacity * share / shares, m_capacity - others);
  return std::max(aQueue.entitledHere, fleet * LocalDemandRatio(aQueue));
}

Duration
Pool::ExpectedWait(const WorkspaceQueue& aQueue, TimePoint aNow) const
{
  const double slots = std::max(0.05, AttainableSlots(aQueue));
  const double ahead = aQueue.Waiting();
  const double runs = std::floor(ahead / slots);
  return PausedFor(aNow) +
         Duration(static_cast<std::int64_t>(
           runs * static_cast<double>(aQueue.MeanServiceTime().count())));
}

}
