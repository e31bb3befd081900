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

constexpr std::uint64_t kZoneStream = 0x20e5;
//! An evacuation that ends sooner shows nothing: its bound is seconds.
constexpr std::uint32_t kEvacuationShortestMs = 4000;
constexpr std::uint32_t kEvacuationSpreadMs = 9000;

//! Half of them evacuations, half cold returns, in random order.
void
AddZoneFaults(const SoakSettings& aSettings, std::vector<Fault>& aPlan)
{
  std::mt19937_64 random(aSettings.seed ^ kZoneStream);
  const auto below = [&](std::uint64_t aBound) {
    return static_cast<std::uint32_t>(random() % aBound);
  };
  //! NOTE they end before the quiet time, in which requests must be served.
  const auto half = static_cast<std::uint64_t>(aSettings.length.count()) / 2;
  for (std::uint32_t i = 0; i < aSettings.zoneFaults; ++i) {
    Fault fault;
    fault.at = base::Duration(below(half));
    fault.kind = i % 2 == 0 ? FaultKind::EvacuateZone : FaultKind::ColdReturn;
    if (fault.kind == FaultKind::EvacuateZone) {
      fault.target = below(kSoakZones);
      fault.lasts = std::min(
        base::Duration(kEvacuationShortestMs + below(kEvacuationSpreadMs)),
        aSettings.length - fault.at);
    } else {
      fault.target = below(aSettings.upstreams);
    }
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
  AddZoneFaults(aSettings, plan);
  return plan;
}

}
