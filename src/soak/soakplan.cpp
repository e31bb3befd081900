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

//! Sets the draws of restores apart: with them or without, a seed's other
//! faults are the same.
constexpr std::uint64_t kRestoreStream = 0x5e57;

void
AddRestores(const SoakSettings& aSettings, std::vector<Fault>& aPlan)
{
  std::mt19937_64 random(aSettings.seed ^ kRestoreStream);
  const auto length = static_cast<std::uint64_t>(aSettings.length.count());
  for (std::uint32_t i = 0; i < aSettings.restores; ++i) {
    Fault fault;
    fault.kind = FaultKind::RestoreStore;
    fault.at = base::Duration(static_cast<std::int64_t>(random() % length));
    fault.lasts =
      base::Duration(static_cast<std::int64_t>(kShortestMs + random() % 1000));
    aPlan.push_back(fault);
  }
  std::stable_sort(
    aPlan.begin(), aPlan.end(), [](const Fault& aFirst, const Fault& aSecond) {
      return aFirst.at < aSecond.at;
    });
}

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
  AddRestores(aSettings, plan);
  return plan;
}

}
