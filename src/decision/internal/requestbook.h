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

struct RequestState
{
  RequestQueued asked;
  RequestPhase phase = RequestPhase::Queued;
  TimePoint queuedAt{};
  TimePoint startedAt{};
  Duration guess{};
  UpstreamId upstream{};
  std::optional<UpstreamId> avoid; //!< where the last attempt failed
  std::uint32_t attempts = 0;
  bool mayHaveRun = false;
};

//! Every request this router has not ended yet.
class RequestBook
{
public:
  bool Add(const RequestQueued& aRequest, TimePoint aNow);
  RequestState* Find(RequestId aRequest);
  void Erase(RequestId aRequest);
  std::size_t Size() const { return m_requests.size(); }
  //! Queued requests whose deadline has passed.
  std::vector<RequestId> Overdue(TimePoint aNow) const;
  std::vector<RequestId> AllQueued() const;

private:
  std::unordered_map<RequestId, RequestState> m_requests;
  std::multimap<TimePoint, RequestId> m_deadlines;
};

}
