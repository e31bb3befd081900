#include "base/error.h"
#include "soak/soakrun.h"

#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "first seed; the same seed gives the same plan");
DEFINE_uint32(seeds, 1, "number of seeds, run one after the other");
DEFINE_uint32(seconds, 20, "duration of fault injection per seed, in seconds");
DEFINE_uint32(routers, 3, "number of router processes");
DEFINE_uint32(upstreams, 5, "number of upstreams");
DEFINE_uint32(callers, 12, "number of callers");
DEFINE_uint32(restores, 0, "number of restores of the store from a copy");
DEFINE_uint32(zone_faults,
              0,
              "number of zone evacuations and cold returns of upstreams");
DEFINE_uint32(signal_faults,
              0,
              "number of upstreams that leave or ask for pauses in answers");
DEFINE_uint32(version_faults,
              0,
              "number of releases of software versions and engine crashes; "
              "callers then resume streams that break");
DEFINE_bool(crashing_part,
            false,
            "send requests whose prompts have a part that crashes engines");
DEFINE_bool(endless,
            false,
            "send responses without an end and large bodies, and let callers "
            "read slowly");
DEFINE_bool(odd_callers,
            false,
            "let a crowd of further callers send odd requests within the size "
            "limits, stall in them, and read late or not at all");
DEFINE_bool(spoiled,
            false,
            "let upstreams send streams and responses that are spoiled or cut, "
            "and put odd entries into the store");
DEFINE_uint32(memory_limit_mb,
              0,
              "resident memory at which a router is killed; 0: no limit");
DEFINE_uint32(port, 26000, "first of a hundred free ports on loopback");
DEFINE_string(router, "", "path of the gateway program");
DEFINE_string(directory, "", "directory for settings, logs and reports");

using namespace hemlockgauge;

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "--router=PROGRAM --directory=DIR [--seed=N --seeds=N --seconds=N ...]\n"
    "Exit codes: 0 all guarantees held, 1 one was violated, 2 could not run.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  bool held = true;
  try {
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
      soak::SoakSettings settings;
      settings.seed = FLAGS_seed + i;
      settings.routers = FLAGS_routers;
      settings.upstreams = FLAGS_upstreams;
      settings.callers = FLAGS_callers;
      settings.restores = FLAGS_restores;
      settings.zoneFaults = FLAGS_zone_faults;
      settings.signalFaults = FLAGS_signal_faults;
      settings.versionFaults = FLAGS_version_faults;
      settings.hasCrashingPart = FLAGS_crashing_part;
      settings.hasEndlessResponses = FLAGS_endless;
      settings.hasOddCallers = FLAGS_odd_callers;
      settings.hasSpoiledResponses = FLAGS_spoiled;
      settings.memoryLimit = std::size_t{ FLAGS_memory_limit_mb } << 20U;
      settings.length = std::chrono::seconds(FLAGS_seconds);
      const auto directory =
        FLAGS_directory + "/seed-" + std::to_string(settings.seed);
      std::filesystem::create_directories(directory);
      soak::SoakRun run(settings,
                        FLAGS_router,
                        directory,
                        static_cast<std::uint16_t>(FLAGS_port));
      const bool good = run.Run();
      held = held && good;
      std::cout << run.Report() << "event=soak-ended seed=" << settings.seed
                << " verdict=" << (good ? "good" : "bad") << std::endl;
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  return held ? 0 : 1;
}
