#pragma once

#include <cstddef>
#include <vector>

namespace hemlockgauge::decision {

//! One workspace that asks for slots of a pool.
struct Claimant
{
  double weight = 1;
  double demand = 0; //!< slots it could use
};

//! Weighted max-min fair division: no one gets more than its demand, and
//! what one leaves goes to the others by weight. Same order as aClaimants.
std::vector<double>
DivideFairly(const std::vector<Claimant>& aClaimants, double aCapacity);

}
