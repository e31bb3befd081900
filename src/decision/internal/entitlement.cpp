#include "decision/internal/entitlement.h"

#include <algorithm>
#include <numeric>

namespace hemlockgauge::decision {

std::vector<double>
MaxMinFairShares(const std::vector<Claimant>& aClaimants, double aCapacity)
{
  std::vector<std::size_t> order(aClaimants.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aClaimants[aLeft].demand * aClaimants[aRight].weight <
             aClaimants[aRight].demand * aClaimants[aLeft].weight;
    });
  double weightLeft = 0;
  for (const auto& claimant : aClaimants) {
    weightLeft += claimant.weight;
  }
  double left = aCapacity;
  std::vector<double> shares(aClaimants.size(), 0);
  for (const auto index : order) {
    const auto& claimant = aClaimants[index];
    const double fairShare =
      weightLeft > 0 ? left * claimant.weight / weightLeft : 0;
    shares[index] = std::min(claimant.demand, std::max(fairShare, 0.0));
    left -= shares[index];
    weightLeft -= claimant.weight;
  }
  return shares;
}

}
