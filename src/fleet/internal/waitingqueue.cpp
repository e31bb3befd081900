#include "fleet/waitingqueue.h"

#include <algorithm>

namespace hemlockgauge::fleet {

std::optional<TimePoint>
GiveUpAt(double aPredictedMs,
         Duration aWaited,
         Duration aTarget,
         TimePoint aNow)
{
  const auto target = static_cast<double>(aTarget.count());
  const double longestMs =
    std::min(target - aPredictedMs, kMaxWaitRatio * target) -
    static_cast<double>(aWaited.count());
  //! NOTE the comparison is also false for a prediction that is not a number.
  if (!(longestMs >= 1.0)) {
    return std::nullopt;
  }
  return aNow + Duration(static_cast<std::int64_t>(longestMs));
}

WaitingQueue::Position
WaitingQueue::PositionOf(const WaitingRequest& aRequest)
{
  return {
    aRequest.entitlement, aRequest.priority, aRequest.giveUpAt, aRequest.id
  };
}

bool
WaitingQueue::FitsWorkspaceShare(const WaitingRequest& aRequest) const
{
  const auto found = m_usage.find(aRequest.workspace);
  const auto used = found == m_usage.end() ? Usage{} : found->second;
  const auto maxBytes = m_limits.bytes / kWaitingShareDivisor;
  return used.requests < m_limits.requests / kWaitingShareDivisor &&
         used.bytes <= maxBytes && aRequest.bytes <= maxBytes - used.bytes;
}

//! Whether the request is within the limits once aRemoved is gone.
bool
WaitingQueue::FitsAfterRemoval(const WaitingRequest& aRequest,
                               const Usage& aRemoved) const
{
  const auto bytes = m_total.bytes - aRemoved.bytes;
  return m_total.requests - aRemoved.requests < m_limits.requests &&
         bytes <= m_limits.bytes && aRequest.bytes <= m_limits.bytes - bytes;
}

AddResult
WaitingQueue::Add(const WaitingRequest& aRequest, TimePoint aNow)
{
  if (aRequest.giveUpAt <= aNow || m_requests.contains(aRequest.id) ||
      !FitsWorkspaceShare(aRequest)) {
    return {};
  }
  AddResult result;
  if (!FitsAfterRemoval(aRequest, {})) {
    if (m_order.empty() || *m_order.rbegin() < PositionOf(aRequest)) {
      return {};
    }
    const auto last = std::get<WaitingId>(*m_order.rbegin());
    if (!FitsAfterRemoval(aRequest, { 1, m_requests.at(last).bytes })) {
      return {};
    }
    Remove(last);
    result.replaced = last;
  }
  if (m_requests.empty()) {
    m_nextAttemptAt = aNow + kWaitingInterval;
  }
  m_requests.emplace(aRequest.id, aRequest);
  m_order.insert(PositionOf(aRequest));
  m_byGiveUpAt.emplace(aRequest.giveUpAt, aRequest.id);
  for (auto* usage : { &m_total, &m_usage[aRequest.workspace] }) {
    usage->requests++;
    usage->bytes += aRequest.bytes;
  }
  result.outcome = AddOutcome::Queued;
  return result;
}

std::vector<WaitingId>
WaitingQueue::TakeDue(TimePoint aNow, std::size_t aMost)
{
  std::vector<Position> due;
  for (const auto& [at, id] : m_byGiveUpAt) {
    if (at > aNow) {
      break;
    }
    due.push_back(PositionOf(m_requests.at(id)));
  }
  std::sort(due.begin(), due.end());
  std::vector<WaitingId> taken;
  for (const auto& position : due) {
    taken.push_back(std::get<WaitingId>(position));
    Remove(taken.back());
  }
  if (aNow < m_nextAttemptAt) {
    return taken;
  }
  m_nextAttemptAt = aNow + kWaitingInterval;
  for (std::size_t i = 0; i < aMost && !m_order.empty(); ++i) {
    taken.push_back(std::get<WaitingId>(*m_order.begin()));
    Remove(taken.back());
  }
  return taken;
}

void
WaitingQueue::Remove(WaitingId aId)
{
  const auto found = m_requests.find(aId);
  if (found == m_requests.end()) {
    return;
  }
  const auto& request = found->second;
  const auto usage = m_usage.find(request.workspace);
  for (auto* used : { &m_total, &usage->second }) {
    used->requests--;
    used->bytes -= request.bytes;
  }
  if (usage->second.requests == 0) {
    m_usage.erase(usage);
  }
  m_order.erase(PositionOf(request));
  m_byGiveUpAt.erase({ request.giveUpAt, aId });
  m_requests.erase(found);
}

std::optional<TimePoint>
WaitingQueue::NextAt() const
{
  if (m_requests.empty()) {
    return std::nullopt;
  }
  return std::min(m_nextAttemptAt, m_byGiveUpAt.begin()->first);
}

std::vector<WaitingId>
WaitingQueue::Clear()
{
  std::vector<WaitingId> ids;
  for (const auto& position : m_order) {
    ids.push_back(std::get<WaitingId>(position));
  }
  m_requests.clear();
  m_order.clear();
  m_byGiveUpAt.clear();
  m_usage.clear();
  m_total = {};
  return ids;
}

}
