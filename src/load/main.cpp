#include "base/error.h"
#include "load/fleetsampler.h"
#include "load/loadrun.h"
#include "load/plan.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(plan, "", "plan file (INI)");

using namespace hemlockgauge;

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "--plan=FILE\nExit codes: 0 good, 1 a request was lost, doubled or\n"
    "answered wrongly, 2 bad plan.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  try {
    const auto plan = load::ReadPlan(FLAGS_plan);
    load::FleetSampler sampler(plan);
    load::LoadRun run(plan);
    run.Run();
    std::cout << run.Summary(sampler.Finish()) << std::flush;
    return run.IsGood() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
