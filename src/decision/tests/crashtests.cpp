#include "fixture/corefleet.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kComingsPerSecond = 4;

}

// A request that crashes each upstream that runs it came again and again, under
// new ids, at any router. What failed was remembered for upstreams and for the
// one request at hand, so the fourth upstream was as likely as the first. The
// routers of the users' platform did the same, seen as why=broken-in-answer
// lines of one workspace and prompt size at four routers within two seconds.
Test(crash, ARequestThatCrashesUpstreamsIsKeptFromTheRest)
{
  fixture::FleetOptions options;
  options.routers = 7;
  options.upstreams = 24;
  fixture::CoreFleet fleet(options);
  const auto sound = fleet.AddWorkspace({ "sound" });
  const auto crashing = fleet.AddWorkspace({ "crashing" });
  fleet.Start();
  fleet.RunFor(8s);
  fixture::CallerOptions callers;
  callers.workspace = sound;
  callers.rate = 40;
  fleet.AddCallers(callers);
  callers.workspace = crashing;
  callers.rate = kComingsPerSecond;
  callers.crashes = true;
  fleet.AddCallers(callers);
  fleet.RunFor(10s);
  const auto crashes = fleet.Counts().crashes;
  // Three, and what comes while the routers hear of them.
  cr_assert(crashes <= 3 + 3 * kComingsPerSecond,
            "%llu",
            static_cast<unsigned long long>(crashes));
  fleet.RunFor(30s);
  cr_assert(fleet.Counts().crashes == crashes);
  cr_assert(fleet.ServedMs(sound) > 0);
  cr_assert(fleet.Counts().liedNotRun == 0);
  cr_assert(fleet.Counts().invariantsBroken == 0);
}
