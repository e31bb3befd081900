#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlockgauge::soak {

enum class FaultKind : std::uint8_t
{
  KillRouter,
  PauseRouter,
  StopRouter, //!< SIGTERM; a new process starts after the exit
  ReloadRouter,
  ResetUpstream,
  SilenceUpstream,   //!< connections stay open, no bytes pass
  CutUpstreamOneWay, //!< bytes sent by the upstream are dropped
  DelayUpstream,
  DrainUpstream,
  RemoveUpstream,
  StoreMute,
  StoreRefuses,
  StoreForgets,
  ResetStore,
  ChangeConfig,
  RevokeKey,
  RestoreStore, //!< restores an older copy; lost writes are repeated later
  EvacuateZone,
  ColdReturn,     //!< replaces an upstream by one that starts cold
  LeaveInAnswers, //!< an upstream says in its answers that it leaves; the store
                  //!< learns of it at the end of the fault
  AskForPauses,   //!< an upstream refuses requests with Retry-After
  ReleaseVersion, //!< replaces an engine by one of a later software version
  CrashEngine,    //!< replaced by one of the same version
  SpoilAnswers,   //!< an upstream spoils all its answers
  OddEntry        //!< the store holds an entry that nothing can be made of
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
                                 "cold-return",
                                 "leave-in-answers",
                                 "ask-for-pauses",
                                 "release-version",
                                 "crash-engine",
                                 "spoil-answers",
                                 "odd-entry");

inline constexpr std::uint32_t kSoakZones = 2;

struct Fault
{
  base::Duration at{};       //!< time since the start of traffic
  base::Duration duration{}; //!< 0: the fault has no duration
  FaultKind kind = FaultKind::KillRouter;
  std::uint32_t target = 0; //!< index of the router, upstream or zone
};

struct SoakSettings
{
  std::uint64_t seed = 1;
  std::uint32_t routers = 3;
  std::uint32_t upstreams = 5;
  std::uint32_t callers = 12;
  std::uint32_t restores =
    0; //!< restores of the store, added to the other faults
  //! Evacuations and cold upstreams, added to the other faults. Above 0,
  //! upstreams are spread over kSoakZones zones.
  std::uint32_t zoneFaults = 0;
  //! Upstreams that leave or ask for pauses in their answers, added to the
  //! other faults.
  std::uint32_t signalFaults = 0;
  //! Releases of software versions and crashes of engines, added to the other
  //! faults. Above 0, engines of two versions serve from the start, and callers
  //! resume streams that break.
  std::uint32_t versionFaults = 0;
  //! Whether requests are sent whose prompts have a part that crashes engines.
  bool hasCrashingPart = false;
  //! Whether some responses have no end, some requests have large bodies and
  //! some callers read slowly.
  bool hasEndlessResponses = false;
  //! Whether callers beside the others send odd requests.
  bool hasOddCallers = false;
  //! Whether upstreams spoil some answers, and at times one of them all its
  //! answers, and the store holds odd entries. The other faults then end
  //! after the first third of the length, so that what is served beside the
  //! spoiled answers can be judged.
  bool hasSpoiledResponses = false;
  //! Resident memory at which a router is killed, in bytes; 0: no limit.
  std::size_t memoryLimit = 0;
  base::Duration length{
    20000
  }; //!< fault injection time; a time without faults follows
};

//! Time after which a plan with spoiled responses has no other faults.
base::Duration
EndOfOtherFaults(const SoakSettings& aSettings);

//! Generates the faults of a run, ordered by start time. The same settings and
//! seed give the same plan. Faults may overlap.
std::vector<Fault>
MakePlan(const SoakSettings& aSettings);

}
