#pragma once

#include <cstddef>
#include <vector>

namespace hemlockgauge::decision {

//! One workspace with a demand for slots of a pool.
struct Claimant
{
  double weight = 1;
  double demand = 0; //!< slots it could use
};

//! Divides aCapacity by weighted max-min fair sharing: no claimant gets more
//! than its demand, and what it leaves is divided among the others by weight.
//! The result is in the order of aClaimants.
std::vector<double>
MaxMinFairShares(const std::vector<Claimant>& aClaimants, double aCapacity);

}
