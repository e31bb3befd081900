#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlockgauge::fleet {

//! A place that a request may go to.
struct SpreadOption
{
  double costMs = 0; //!< what keeps requests away, the wait there among it
  double speed = 1;  //!< work done there in a ms, in any unit
};

//! What this router can't know yet: what others sent since the news of load
//! that it decides on.
struct UnseenLoad
{
  //! The wait that it adds to each place on average, in ms.
  double ms = 0;
  //! Differs between requests: draws one of the places.
  std::uint64_t draw = 0;
};

//! The part of the requests that each option should get, so that the costs are
//! level once as much work has come as aUnseenMs says: water poured over an
//! uneven ground. Answers old news: if all sent to the option that was best in
//! it, that one would get the work of all until the next news. Without unseen
//! work the best option gets everything. aOptions: at least one.
std::vector<double>
SpreadParts(const std::vector<SpreadOption>& aOptions, double aUnseenMs);

//! The option that aDraw falls on. aParts: at least one, their sum is 1.
std::size_t
DrawByParts(const std::vector<double>& aParts, std::uint64_t aDraw);

}
