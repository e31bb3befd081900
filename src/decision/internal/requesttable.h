#pragma once

#include "decision/decisiontypes.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace hemlockgauge::decision {

enum class RequestPhase
{
  Queued,
  Running
};

//! One request that is queued or running.
struct RequestState
{
  RequestQueued parameters;
  RequestPhase phase = RequestPhase::Queued;
  TimePoint queuedAt{};
  TimePoint startedAt{};
  Duration estimatedServiceTime{}; //!< of the running attempt
  UpstreamId upstream{};           //!< of the last attempt
  std::optional<UpstreamId> avoid; //!< where the last attempt failed
  std::uint32_t attempts = 0;
  bool mayHaveRun = false;
};

//! Holds all requests of this router that have not ended.
class RequestTable
{
public:
  //! Returns false if the request id is already present.
  bool Add(const RequestQueued& aRequest, TimePoint aNow);
  RequestState* Find(RequestId aRequest);
  void Erase(RequestId aRequest);
  std::size_t Size() const { return m_requests.size(); }
  //! Returns the queued requests whose deadline has passed.
  std::vector<RequestId> Overdue(TimePoint aNow) const;
  std::vector<RequestId> AllQueued() const;

private:
  std::unordered_map<RequestId, RequestState> m_requests;
  std::multimap<TimePoint, RequestId> m_deadlines;
};

}
