#pragma once

#include "quarantine/quarantinetypes.h"

#include <deque>
#include <map>
#include <optional>

namespace hemlockgauge::quarantine {

//! The traits of the requests that this router's upstreams last answered
//! completely, at most kMaxRecentAnswers. What many requests have in common
//! is known to be harmless before an upstream crashes while it runs some of
//! them.
class RecentAnswers
{
public:
  void Add(const Trait& aTrait, TimePoint aNow);
  //! Time of the last complete answer to a request with the trait, if it is
  //! remembered.
  std::optional<TimePoint> Last(const Trait& aTrait) const;

private:
  struct Answer
  {
    Trait trait;
    TimePoint at{};
  };

  std::deque<Answer> m_order; //!< the oldest first
  std::map<Trait, TimePoint> m_last;
};

}
