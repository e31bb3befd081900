#include "fleet/fleet.h"

#include <cmath>

//! Decisions that serve callers while upstreams are full: loads that upstreams
//! state, and retry times of refused requests.
namespace hemlockgauge::fleet {

namespace {

constexpr double kMillisPerSecond = 1000.0;

}

bool
Fleet::RecordLoad(AttemptId aAttempt, const StatedLoad& aLoad, TimePoint aNow)
{
  const auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end()) {
    return true; // not known where the answer came from
  }
  const auto id = found->second.upstream;
  const auto* upstream = m_upstreams.Find(id);
  return upstream == nullptr ||
         m_statedLoads.Record(
           id, aLoad, upstream->entry->slots, upstream->running, aNow);
}

void
Fleet::ApplyStatedLoad(Candidate& aCandidate,
                       const Upstream& aUpstream,
                       std::uint32_t aPeersRunning,
                       TimePoint aNow) const
{
  if (!m_settings.usesStatedLoads) {
    return;
  }
  const bool hasReports = m_peers.RouterCount() > 0;
  const auto reportsAsOf =
    hasReports ? aNow - m_peers.MeanLoadAge(aNow) : TimePoint::min();
  const auto stated = m_statedLoads.Requests(
    aCandidate.upstream, aUpstream.running, aPeersRunning, reportsAsOf, aNow);
  aCandidate.running = static_cast<std::uint32_t>(std::lround(stated.requests));
  aCandidate.prefillRate /= m_statedLoads.Slowdown(aCandidate.upstream, aNow);
}

//! The Retry-After of a request refused because upstreams are full. aEarliest:
//! the least useful one.
Duration
Fleet::RetryAfterOf(const PlaceRequest& aRequest,
                    const PlaceResult& aResult,
                    Duration aEarliest,
                    TimePoint aNow)
{
  if (!m_settings.spreadsRetries) {
    return aEarliest;
  }
  ReturnRequest request;
  request.cost = aRequest.work->IsGeneration() ? aRequest.work->Cost() : 1.0;
  request.earliest = aEarliest;
  request.timeLeft = aRequest.timeLeft;
  request.entitled = aResult.IsNominallyEntitled();
  request.key = aRequest.key;
  //! NOTE no target is given: retries that are packed into what is left of the
  //! target while there is no room would be refused again, which loses them.
  return m_retryTimes[aRequest.service].Assign(request, aNow);
}

//! Sets the room for retries to the rate that this router admits now: retries
//! may take the place of new requests, which are refused in their turn.
//! Rates are kept by workspace, so each engine service gets the rate of all.
void
Fleet::UpdateRetryRoom(TimePoint aNow)
{
  if (!m_settings.spreadsRetries) {
    return;
  }
  double admitted = 0;
  for (const auto& [workspace, rate] : m_demandMeter.Rates(aNow)) {
    admitted += rate.admitted;
  }
  const auto calls = m_callMeter.Rates(aNow);
  for (auto& [name, schedule] : m_retryTimes) {
    const auto* service = m_upstreams.FindService(name);
    const auto answered = calls.find(ServiceIdOf(name));
    const bool isEngine = service != nullptr && service->isEngine;
    const double plainRate =
      answered == calls.end() ? 0.0 : answered->second.answered;
    schedule.SetRoom((isEngine ? admitted : plainRate) / kMillisPerSecond);
  }
}

ScheduledCost
Fleet::ScheduledRetries(TimePoint aNow) const
{
  ScheduledCost sum;
  for (const auto& [name, schedule] : m_retryTimes) {
    const auto cost = schedule.Scheduled(aNow);
    sum.entitled += cost.entitled;
    sum.others += cost.others;
  }
  return sum;
}

}
