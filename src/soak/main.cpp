#include "base/error.h"
#include "soak/soakrun.h"

#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "first seed; the same seed gives the same plan");
DEFINE_uint32(seeds, 1, "how many seeds, one after the other");
DEFINE_uint32(seconds, 20, "how long faults are injected in each");
DEFINE_uint32(routers, 3, "router processes");
DEFINE_uint32(upstreams, 5, "upstreams");
DEFINE_uint32(callers, 12, "callers");
DEFINE_uint32(restores, 0, "how often the store comes back from a copy");
DEFINE_uint32(zone_faults, 0, "evacuations and upstreams that return cold");
DEFINE_uint32(port, 26000, "first of a hundred free ports on loopback");
DEFINE_string(router, "", "the gateway program");
DEFINE_string(directory, "", "where settings, logs and reports are put");

using namespace hemlockgauge;

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "--router=PROGRAM --directory=DIR [--seed=N --seeds=N --seconds=N ...]\n"
    "Exit codes: 0 all promises held, 1 one was broken, 2 could not run.");
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
