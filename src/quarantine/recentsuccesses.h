#pragma once

#include "quarantine/quarantinetypes.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace hemlockgauge::quarantine {

//! The requests that this router's upstreams last answered completely, at most
//! kMaxRecentSuccesses. If many callers send the same request, it is known to
//! be harmless before an upstream crashes while it runs some of its copies.
class RecentSuccesses
{
public:
  void Add(RequestFingerprint aRequest, TimePoint aNow);
  //! Time of the last complete answer to the request, if it is remembered.
  std::optional<TimePoint> Last(RequestFingerprint aRequest) const;

private:
  struct Success
  {
    RequestFingerprint request{};
    TimePoint at{};
  };

  std::deque<Success> m_order; //!< the oldest first
  std::unordered_map<RequestFingerprint, TimePoint> m_last;
};

}
