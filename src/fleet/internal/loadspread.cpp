#include "fleet/loadspread.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

namespace {

//! The common cost, in ms, that options reach once the unseen load has been
//! added to the cheapest ones.
double
WaterFillLevel(const std::vector<SpreadOption>& aOptions, double aUnseenMs)
{
  std::vector<const SpreadOption*> order;
  double totalSpeed = 0;
  for (const auto& option : aOptions) {
    order.push_back(&option);
    totalSpeed += option.throughput;
  }
  std::sort(
    order.begin(), order.end(), [](const auto* aFirst, const auto* aOther) {
      return aFirst->costMs < aOther->costMs;
    });
  const double work = aUnseenMs * totalSpeed;
  double level = order.front()->costMs;
  double filled = 0; //!< work that raises the options so far to the level
  double speed = 0;  //!< sum over the options so far
  for (const auto* option : order) {
    const double workToNext = (option->costMs - level) * speed;
    if (filled + workToNext >= work && speed > 0) {
      break;
    }
    filled += workToNext;
    level = option->costMs;
    speed += option->throughput;
  }
  return speed > 0 ? level + (work - filled) / speed : level;
}

}

std::vector<double>
SpreadWeights(const std::vector<SpreadOption>& aOptions, double aUnseenMs)
{
  const double level = WaterFillLevel(aOptions, aUnseenMs);
  std::vector<double> weights;
  weights.reserve(aOptions.size());
  double sum = 0;
  for (const auto& option : aOptions) {
    weights.push_back(option.throughput * std::max(0.0, level - option.costMs));
    sum += weights.back();
  }
  if (sum <= 0) {
    const auto best =
      std::min_element(aOptions.begin(),
                       aOptions.end(),
                       [](const auto& aFirst, const auto& aOther) {
                         return aFirst.costMs < aOther.costMs;
                       });
    std::fill(weights.begin(), weights.end(), 0.0);
    weights[static_cast<std::size_t>(best - aOptions.begin())] = 1.0;
    return weights;
  }
  for (auto& weight : weights) {
    weight /= sum;
  }
  return weights;
}

std::size_t
PickByWeight(const std::vector<double>& aWeights, std::uint64_t aDraw)
{
  constexpr auto kMaxDraw =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  double remaining = static_cast<double>(aDraw) / kMaxDraw;
  std::size_t last = 0;
  for (std::size_t i = 0; i < aWeights.size(); ++i) {
    if (aWeights[i] <= 0) {
      continue;
    }
    last = i;
    remaining -= aWeights[i];
    if (remaining < 0) {
      break;
    }
  }
  return last;
}

}
