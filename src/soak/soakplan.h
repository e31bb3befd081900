#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"

#include <cstdint>
#include <vector>

namespace hemlockgauge::soak {

enum class FaultKind : std::uint8_t
{
  KillRouter,
  PauseRouter,
  StopRouter, //!< SIGTERM, and a new process after its end
  ReloadRouter,
  ResetUpstream,
  SilenceUpstream,   //!< connections stay open and nothing passes
  CutUpstreamOneWay, //!< what the upstream sends is lost
  DelayUpstream,
  DrainUpstream,
  RemoveUpstream,
  StoreMute,
  StoreRefuses,
  StoreForgets,
  ResetStore,
  ChangeConfig,
  WithdrawKey,
  RestoreStore, //!< it comes back from a copy; what was lost is written again
  EvacuateZone,
  ColdReturn //!< an upstream is replaced by one that starts cold
};
inline constexpr auto kFaultKindNames =
  base::MakeEnumNames<FaultKind>("kill-router",
                                 "pause-router",
                                 "stop-router",
                                 "reload-router",
                                 "reset-upstream",
                                 "silence-upstream",
                                 "cut-upstream-one-way",
                                 "delay-upstream",
                                 "drain-upstream",
                                 "remove-upstream",
                                 "store-mute",
                                 "store-refuses",
                                 "store-forgets",
                                 "reset-store",
                                 "change-config",
                                 "withdraw-key",
                                 "restore-store",
                                 "evacuate-zone",
                                 "cold-return");

inline constexpr std::uint32_t kSoakZones = 2;

struct Fault
{
  base::Duration at{};    //!< since the start of traffic
  base::Duration lasts{}; //!< 0: it is over at once
  FaultKind kind = FaultKind::KillRouter;
  std::uint32_t target = 0; //!< router, upstream or zone
};

struct SoakSettings
{
  std::uint64_t seed = 1;
  std::uint32_t routers = 3;
  std::uint32_t upstreams = 5;
  std::uint32_t callers = 12;
  std::uint32_t restores = 0; //!< of the store, besides the other faults
  //! Evacuations and cold upstreams, besides the other faults. With any,
  //! upstreams stand in kSoakZones zones.
  std::uint32_t zoneFaults = 0;
  base::Duration length{ 20000 }; //!< of the faults; quiet time follows
};

//! What is injected when: the same seed gives the same plan. Faults come in
//! series and overlap.
std::vector<Fault>
MakePlan(const SoakSettings& aSettings);

}
