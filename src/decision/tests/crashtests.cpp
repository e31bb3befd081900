#include "fixture/corefleet.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kRequestsPerSecond = 4;

}

// Guards against a request that crashes each upstream that runs it and is
// repeated under new ids at any router: without a quarantine that is shared by
// the fleet, the fourth upstream is as likely to crash as the first. In
// operation this shows as why=broken-in-answer log lines of one workspace and
// prompt size at four routers within two seconds.
Test(crash, RequestThatCrashesUpstreamsIsQuarantined)
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
  callers.rate = kRequestsPerSecond;
  callers.crashes = true;
  fleet.AddCallers(callers);
  fleet.RunFor(10s);
  const auto crashes = fleet.Counts().crashes;
  // Three crashes to quarantine, plus requests that arrive within three
  // seconds, before all routers have received the reports.
  cr_assert(crashes <= 3 + 3 * kRequestsPerSecond,
            "%llu",
            static_cast<unsigned long long>(crashes));
  fleet.RunFor(30s);
  cr_assert(fleet.Counts().crashes == crashes);
  cr_assert(fleet.ServedMs(sound) > 0);
  cr_assert(fleet.Counts().falseNotRun == 0);
  cr_assert(fleet.Counts().invariantsBroken == 0);
}
