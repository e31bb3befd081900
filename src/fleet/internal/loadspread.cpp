#include "fleet/loadspread.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

namespace {

//! Up to where the options' costs rise once the unseen work has come.
double
LevelOf(const std::vector<SpreadOption>& aOptions, double aUnseenMs)
{
  std::vector<const SpreadOption*> order;
  double speeds = 0;
  for (const auto& option : aOptions) {
    order.push_back(&option);
    speeds += option.speed;
  }
  std::sort(
    order.begin(), order.end(), [](const auto* aFirst, const auto* aOther) {
      return aFirst->costMs < aOther->costMs;
    });
  const double work = aUnseenMs * speeds;
  double level = order.front()->costMs;
  double filled = 0; //!< work that brings all so far to the level
  double speed = 0;  //!< of all so far
  for (const auto* option : order) {
    const double rise = (option->costMs - level) * speed;
    if (filled + rise >= work && speed > 0) {
      break;
    }
    filled += rise;
    level = option->costMs;
    speed += option->speed;
  }
  return speed > 0 ? level + (work - filled) / speed : level;
}

}

std::vector<double>
SpreadParts(const std::vector<SpreadOption>& aOptions, double aUnseenMs)
{
  const double level = LevelOf(aOptions, aUnseenMs);
  std::vector<double> parts;
  parts.reserve(aOptions.size());
  double sum = 0;
  for (const auto& option : aOptions) {
    parts.push_back(option.speed * std::max(0.0, level - option.costMs));
    sum += parts.back();
  }
  if (sum <= 0) {
    const auto best =
      std::min_element(aOptions.begin(),
                       aOptions.end(),
                       [](const auto& aFirst, const auto& aOther) {
                         return aFirst.costMs < aOther.costMs;
                       });
    std::fill(parts.begin(), parts.end(), 0.0);
    parts[static_cast<std::size_t>(best - aOptions.begin())] = 1.0;
    return parts;
  }
  for (auto& part : parts) {
    part /= sum;
  }
  return parts;
}

std::size_t
DrawByParts(const std::vector<double>& aParts, std::uint64_t aDraw)
{
  constexpr auto kMost =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  double left = static_cast<double>(aDraw) / kMost;
  std::size_t last = 0;
  for (std::size_t i = 0; i < aParts.size(); ++i) {
    if (aParts[i] <= 0) {
      continue;
    }
    last = i;
    left -= aParts[i];
    if (left < 0) {
      break;
    }
  }
  return last;
}

}
