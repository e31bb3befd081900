#include "base/error.h"
#include "fixture/scenario.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using hemlockgauge::fixture::RunScenario;

namespace {

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream stream(aPath);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void
ExpectScenarioPasses(const std::string& aName)
{
  const auto path = std::filesystem::path(SCENARIO_DIR) / aName;
  const auto failures = RunScenario(aName, ReadFile(path));
  for (const auto& failure : failures) {
    cr_log_error("%s", failure.c_str());
  }
  cr_assert(failures.empty(), "%s", aName.c_str());
}

}

// One test per scenario file, so that the report names the file that failed.
#define SCENARIO(aName, aFile)                                                 \
  Test(scenario, aName, .timeout = 300)                                        \
  {                                                                            \
    ExpectScenarioPasses(aFile ".scenario");                                   \
  }

SCENARIO(AllUpstreamsPaused, "all-upstreams-paused")
SCENARIO(BadDocumentAtColdStart, "bad-document-at-cold-start")
SCENARIO(Burst, "burst")
SCENARIO(ColdStartOfAll, "cold-start-of-all")
SCENARIO(ColdStartWithoutPlatform, "cold-start-without-platform")
SCENARIO(FailingUpstream, "failing-upstream")
SCENARIO(Flood, "flood")
SCENARIO(Freeze, "freeze")
SCENARIO(IdleReturn, "idle-return")
SCENARIO(LeavingUpstream, "leaving-upstream")
SCENARIO(LeavingUpstreamListedLive, "leaving-upstream-listed-live")
SCENARIO(LossyNetwork, "lossy-network")
SCENARIO(OneWayCut, "one-way-cut")
SCENARIO(Overload, "overload")
SCENARIO(Partition, "partition")
SCENARIO(PausedUpstream, "paused-upstream")
SCENARIO(RollingReplacement, "rolling-replacement")
SCENARIO(Sharing, "sharing")
SCENARIO(ZoneLoss, "zone-loss")

Test(scenario, EveryScenarioFileHasATest)
{
  std::size_t files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_DIR)) {
    files += entry.path().extension() == ".scenario" ? 1 : 0;
  }
  constexpr std::size_t kTests = 19;
  cr_assert(files == kTests, "%zu", files);
}

Test(scenario, UnknownWordIsReportedWithItsLine)
{
  std::string why;
  try {
    RunScenario("s", "workspace a\nat 1s dance\n");
  } catch (const hemlockgauge::base::Error& error) {
    why = error.what();
  }
  cr_assert(why == "s:2: unknown word dance", "%s", why.c_str());
}
