#pragma once

#include "quarantine/quarantinetypes.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace hemlockgauge::quarantine {

//! The requests that ended well here last, a bounded number of them: one that
//! many callers send alike is known to be sound before an upstream crashes
//! under some of them.
class RecentSuccesses
{
public:
  void Add(RequestFingerprint aRequest, TimePoint aNow);
  //! When it last ended well.
  std::optional<TimePoint> Last(RequestFingerprint aRequest) const;

private:
  struct Success
  {
    RequestFingerprint request{};
    TimePoint at{};
  };

  std::deque<Success> m_order;
  std::unordered_map<RequestFingerprint, TimePoint> m_last;
};

}
