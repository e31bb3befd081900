#include "soak/soakplan.h"

#include <algorithm>
#include <random>

namespace hemlockgauge::soak {

namespace {

constexpr auto kRandomFaultKinds =
  static_cast<std::uint32_t>(FaultKind::RevokeKey) + 1;
//! Mean interval between the starts of faults, in ms.
constexpr std::uint32_t kMeanFaultIntervalMs = 700;
constexpr std::uint32_t kFaultDurationSpreadMs = 3000;
constexpr std::uint32_t kMinFaultDurationMs = 200;

//! Sorts faults by their start; those of the same time keep their order.
void
SortByStart(std::vector<Fault>& aPlan)
{
  std::stable_sort(
    aPlan.begin(), aPlan.end(), [](const Fault& aFirst, const Fault& aSecond) {
      return aFirst.at < aSecond.at;
    });
}

//! Seed offset of a separate random stream for restores, so that enabling
//! restores does not change the other faults of a seed.
constexpr std::uint64_t kRestoreSeedOffset = 0x5e57;

void
AddRestores(const SoakSettings& aSettings, std::vector<Fault>& aPlan)
{
  std::mt19937_64 random(aSettings.seed ^ kRestoreSeedOffset);
  const auto length = static_cast<std::uint64_t>(aSettings.length.count());
  for (std::uint32_t i = 0; i < aSettings.restores; ++i) {
    Fault fault;
    fault.kind = FaultKind::RestoreStore;
    fault.at = base::Duration(static_cast<std::int64_t>(random() % length));
    fault.duration = base::Duration(
      static_cast<std::int64_t>(kMinFaultDurationMs + random() % 1000));
    aPlan.push_back(fault);
  }
  SortByStart(aPlan);
}

constexpr std::uint64_t kZoneFaultSeedOffset = 0x20e5;
//! Evacuations take effect within seconds; a shorter one would test nothing.
constexpr std::uint32_t kMinEvacuationMs = 4000;
constexpr std::uint32_t kEvacuationSpreadMs = 9000;

//! Adds zone faults at random times: alternately evacuations and cold returns.
void
AddZoneFaults(const SoakSettings& aSettings, std::vector<Fault>& aPlan)
{
  std::mt19937_64 random(aSettings.seed ^ kZoneFaultSeedOffset);
  const auto below = [&](std::uint64_t aBound) {
    return static_cast<std::uint32_t>(random() % aBound);
  };
  // Evacuations end before the time without faults, in which requests must be
  // served.
  const auto half = static_cast<std::uint64_t>(aSettings.length.count()) / 2;
  for (std::uint32_t i = 0; i < aSettings.zoneFaults; ++i) {
    Fault fault;
    fault.at = base::Duration(below(half));
    fault.kind = i % 2 == 0 ? FaultKind::EvacuateZone : FaultKind::ColdReturn;
    if (fault.kind == FaultKind::EvacuateZone) {
      fault.target = below(kSoakZones);
      fault.duration =
        std::min(base::Duration(kMinEvacuationMs + below(kEvacuationSpreadMs)),
                 aSettings.length - fault.at);
    } else {
      fault.target = below(aSettings.upstreams);
    }
    aPlan.push_back(fault);
  }
  SortByStart(aPlan);
}

constexpr std::uint64_t kSignalFaultSeedOffset = 0x516;
//! Longer than routers may send requests to an upstream after its answer.
constexpr std::uint32_t kMinSignalFaultMs = 6000;
constexpr std::uint32_t kSignalFaultSpreadMs = 4000;

//! Adds faults that upstreams announce in their answers: alternately ones that
//! leave and ones that ask for pauses.
void
AddSignalFaults(const SoakSettings& aSettings, std::vector<Fault>& aPlan)
{
  std::mt19937_64 random(aSettings.seed ^ kSignalFaultSeedOffset);
  const auto below = [&](std::uint64_t aBound) {
    return static_cast<std::uint32_t>(random() % aBound);
  };
  const auto half = static_cast<std::uint64_t>(aSettings.length.count()) / 2;
  for (std::uint32_t i = 0; i < aSettings.signalFaults; ++i) {
    Fault fault;
    fault.at = base::Duration(below(half));
    fault.kind =
      i % 2 == 0 ? FaultKind::LeaveInAnswers : FaultKind::AskForPauses;
    fault.target = below(aSettings.upstreams);
    fault.duration =
      std::min(base::Duration(kMinSignalFaultMs + below(kSignalFaultSpreadMs)),
               aSettings.length - fault.at);
    aPlan.push_back(fault);
  }
  SortByStart(aPlan);
}

constexpr std::uint64_t kVersionFaultSeedOffset = 0x7e55;

//! Adds alternately releases of a version and crashes, each of one engine.
void
AddVersionFaults(const SoakSettings& aSettings, std::vector<Fault>& aPlan)
{
  std::mt19937_64 random(aSettings.seed ^ kVersionFaultSeedOffset);
  const auto length = static_cast<std::uint64_t>(aSettings.length.count());
  const auto engines = (aSettings.upstreams + 1) / 2;
  for (std::uint32_t i = 0; i < aSettings.versionFaults; ++i) {
    Fault fault;
    fault.at = base::Duration(static_cast<std::int64_t>(random() % length));
    fault.kind =
      i % 2 == 0 ? FaultKind::ReleaseVersion : FaultKind::CrashEngine;
    fault.target = 2 * static_cast<std::uint32_t>(random() % engines);
    aPlan.push_back(fault);
  }
  SortByStart(aPlan);
}

constexpr std::uint64_t kSpoilSeedOffset = 0x5b01;
//! Spoils of all answers do not overlap: one upstream at most has them.
constexpr std::uint32_t kSpoilIntervalMs = 3500;
constexpr std::uint32_t kMinSpoilMs = 2000;
constexpr std::uint32_t kSpoilSpreadMs = 1500;
constexpr std::uint32_t kOddEntryIntervalMs = 600;

//! Ends the other faults early, and adds spoils of an upstream's answers and
//! odd entries.
void
AddSpoils(const SoakSettings& aSettings, std::vector<Fault>& aPlan)
{
  std::mt19937_64 random(aSettings.seed ^ kSpoilSeedOffset);
  const auto below = [&](std::uint64_t aBound) {
    return static_cast<std::uint32_t>(random() % aBound);
  };
  const auto othersEnd = EndOfOtherFaults(aSettings);
  std::erase_if(aPlan,
                [&](const Fault& aFault) { return aFault.at >= othersEnd; });
  for (auto& fault : aPlan) {
    fault.duration = std::min(fault.duration, othersEnd - fault.at);
  }
  const auto engines = (aSettings.upstreams + 1) / 2;
  bool isEngine = true;
  for (base::Duration at{}; at < aSettings.length;
       at += base::Duration(kSpoilIntervalMs)) {
    Fault fault;
    fault.kind = FaultKind::SpoilAnswers;
    fault.at = at;
    fault.duration =
      std::min(base::Duration(kMinSpoilMs + below(kSpoilSpreadMs)),
               aSettings.length - at);
    fault.target = isEngine ? 2 * below(engines) : below(aSettings.upstreams);
    isEngine = !isEngine;
    aPlan.push_back(fault);
  }
  for (base::Duration at{}; at < aSettings.length;
       at += base::Duration(kOddEntryIntervalMs)) {
    Fault fault;
    fault.kind = FaultKind::OddEntry;
    fault.at = at;
    fault.target = below(aSettings.upstreams);
    aPlan.push_back(fault);
  }
  SortByStart(aPlan);
}

bool
TargetsRouter(FaultKind aKind)
{
  return aKind <= FaultKind::ReloadRouter;
}

}

base::Duration
EndOfOtherFaults(const SoakSettings& aSettings)
{
  return aSettings.length / 3;
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
    fault.kind = static_cast<FaultKind>(below(kRandomFaultKinds));
    fault.duration =
      base::Duration(kMinFaultDurationMs + below(kFaultDurationSpreadMs));
    fault.target = below(TargetsRouter(fault.kind) ? aSettings.routers
                                                   : aSettings.upstreams);
    plan.push_back(fault);
    at += base::Duration(1 + below(2 * kMeanFaultIntervalMs));
  }
  AddRestores(aSettings, plan);
  AddZoneFaults(aSettings, plan);
  AddSignalFaults(aSettings, plan);
  AddVersionFaults(aSettings, plan);
  if (aSettings.hasSpoiledResponses) {
    AddSpoils(aSettings, plan);
  }
  return plan;
}

}
