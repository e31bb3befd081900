#include "decision/internal/requesttable.h"

namespace hemlockgauge::decision {

bool
RequestTable::Add(const RequestQueued& aRequest, TimePoint aNow)
{
  RequestState state;
  state.parameters = aRequest;
  state.queuedAt = aNow;
  const auto [at, isNew] = m_requests.try_emplace(aRequest.request, state);
  if (isNew) {
    m_deadlines.emplace(aRequest.deadline, aRequest.request);
  }
  return isNew;
}

RequestState*
RequestTable::Find(RequestId aRequest)
{
  const auto found = m_requests.find(aRequest);
  return found == m_requests.end() ? nullptr : &found->second;
}

void
RequestTable::Erase(RequestId aRequest)
{
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end()) {
    return;
  }
  const auto range = m_deadlines.equal_range(found->second.parameters.deadline);
  for (auto at = range.first; at != range.second; ++at) {
    if (at->second == aRequest) {
      m_deadlines.erase(at);
      break;
    }
  }
  m_requests.erase(found);
}

std::vector<RequestId>
RequestTable::Overdue(TimePoint aNow) const
{
  std::vector<RequestId> overdue;
  for (const auto& [deadline, request] : m_deadlines) {
    if (deadline > aNow) {
      break;
    }
    const auto& state = m_requests.at(request);
    if (state.phase == RequestPhase::Queued) {
      overdue.push_back(request);
    }
  }
  return overdue;
}

std::vector<RequestId>
RequestTable::AllQueued() const
{
  std::vector<RequestId> queued;
  for (const auto& [request, state] : m_requests) {
    if (state.phase == RequestPhase::Queued) {
      queued.push_back(request);
    }
  }
  return queued;
}

}
