#include "fleetfixture.h"

#include <criterion/criterion.h>

//! Placement while upstreams drain, restart or lose their entry.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

//! What a router has learned of an upstream holds for that incarnation only.
Test(core, ARestartedUpstreamHoldsNoPrefixAndRunsNothing)
{
  FleetFixture fixture;
  fixture.ListEngine(1000);
  const auto first = fixture.Place(fixture.MakeRequest(7));
  cr_assert(fixture.Place(fixture.MakeRequest(7)).running == 1);
  fixture.ListEngine(2000);
  const auto after = fixture.Place(fixture.MakeRequest(7));
  cr_assert(after.upstreamId == first.upstreamId);
  cr_assert(after.upstream != first.upstream);
  cr_assert(after.missingTokens == kPromptTokens);
  cr_assert(after.running == 0 && after.unreadTokens == 0);
  fixture.fleet.EndAttempt(first.attempt, AttemptOutcome::Broken, fixture.now);
  cr_assert(fixture.Place(fixture.MakeRequest(8)).running == 1);
}

//! Other routers may not know of the restart yet.
Test(core, ReportsOfAnEarlierIncarnationAreIgnored)
{
  FleetFixture fixture;
  fixture.ListEngine(2000);
  PeerReport report;
  report.router = "r2";
  report.incarnation = 1;
  report.sequence = 1;
  report.loads = { { UpstreamIdOf("u0", 1000), 50000, 20 } };
  report.prefixUses = { { 7, UpstreamIdOf("u0", 1000) } };
  fixture.fleet.ApplyReport(report, fixture.now);
  const auto place = fixture.Place(fixture.MakeRequest(7));
  cr_assert(place.running == 0);
  cr_assert(place.missingTokens == kPromptTokens);
}

Test(core, AnUnusableEntryGetsNoWork)
{
  FleetFixture fixture;
  fixture.ListUpstreams(2);
  UpstreamEntry bad;
  bad.id = "u0";
  bad.usable = false;
  fixture.fleet.Upstreams().Put(bad);
  fixture.fleet.UpdateUpstreams(fixture.now);
  for (std::uint64_t prefix = 0; prefix < 6; ++prefix) {
    cr_assert(fixture.Place(fixture.MakeRequest(prefix)).upstreamId == "u1");
  }
}

Test(core, ADrainingUpstreamGetsNoNewRequests)
{
  FleetFixture fixture;
  fixture.ListUpstreams(2);
  const auto first = fixture.Place(fixture.MakeRequest(7));
  UpstreamEntry draining;
  draining.id = first.upstreamId;
  draining.service = "engines";
  draining.draining = true;
  fixture.fleet.Upstreams().Put(draining);
  fixture.fleet.UpdateUpstreams(fixture.now);
  for (int i = 0; i < 20; ++i) {
    cr_assert(fixture.Place(fixture.MakeRequest(7)).upstreamId !=
              first.upstreamId);
  }
}

//! The list had dropped an upstream whose entry had expired, and requests were
//! still sent there.
Test(core, ARemovedUpstreamGetsNoNewRequests)
{
  FleetFixture fixture;
  fixture.ListUpstreams(2);
  fixture.fleet.Upstreams().Remove("u0", fixture.now);
  fixture.fleet.UpdateUpstreams(fixture.now);
  for (std::uint64_t i = 0; i < 20; ++i) {
    const auto place = fixture.Place(fixture.MakeRequest(i));
    cr_assert(place.upstreamId == "u1");
    fixture.fleet.EndAttempt(
      place.attempt, AttemptOutcome::Answered, fixture.now);
  }
  fixture.fleet.Upstreams().Remove("u1", fixture.now);
  fixture.fleet.UpdateUpstreams(fixture.now);
  cr_assert(fixture.Place(fixture.MakeRequest(1)).outcome ==
            PlaceOutcome::NoUpstream);
}
