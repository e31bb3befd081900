#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlockgauge::fleet {

//! A destination that a request may be sent to.
struct SpreadOption
{
  double costMs = 0;     //!< cost of sending there, including the wait
  double throughput = 1; //!< work done there per ms, in any common unit
};

//! Load that other routers have sent since the load reports that this router
//! decides on.
struct UnseenLoad
{
  //! The mean wait that it adds at each destination, in ms.
  double ms = 0;
  //! A hash that differs between requests and selects a destination.
  std::uint64_t draw = 0;
};

//! Returns the fraction of requests that each option should get, so that the
//! costs are equal once the unseen load of aUnseenMs has been added
//! (water filling). If all routers sent to the option that was best in the last
//! load reports, it would get the work of all of them until the next reports.
//! Without unseen load, the cheapest option gets everything. aOptions must
//! not be empty.
std::vector<double>
SpreadWeights(const std::vector<SpreadOption>& aOptions, double aUnseenMs);

//! Returns the index of the option that aDraw selects at random. aWeights must
//! not be empty and must sum to 1; aDraw is uniform over all its values.
std::size_t
PickByWeight(const std::vector<double>& aWeights, std::uint64_t aDraw);

}
