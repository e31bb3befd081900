#include "soak/soakplan.h"

#include <algorithm>
#include <random>

namespace hemlockgauge::soak {

namespace {

constexpr auto kKinds = static_cast<std::uint32_t>(FaultKind::WithdrawKey) + 1;
//! A new fault begins every so many ms, on average.
constexpr std::uint32_t kMeanGapMs = 700;
constexpr std::uint32_t kLongestMs = 3000;
constexpr std::uint32_t kShortestMs = 200;

bool
HitsRouter(FaultKind aKind)
{
  return aKind <= FaultKind::ReloadRouter;
}

}

std::vector<Fault>
MakePlan(const SoakSettings& aSettings)
{
  std::mt19937_64 random(aSettings.seed);
  const auto below = [&](std::uint32_t aBound) {
    return static_cast<std::uint32_t>(random() % aBound);
  };
  std::vector<Fault> plan;
  base::Duration at(500);
  while (at < aSettings.length) {
    Fault fault;
    fault.at = at;
    fault.kind = static_cast<FaultKind>(below(kKinds));
    fault.lasts = base::Duration(kShortestMs + below(kLongestMs));
    fault.target =
      below(HitsRouter(fault.kind) ? aSettings.routers : aSettings.upstreams);
    plan.push_back(fault);
    at += base::Duration(1 + below(2 * kMeanGapMs));
  }
  return plan;
}

}
