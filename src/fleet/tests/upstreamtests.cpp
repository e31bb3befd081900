#include "corefixture.h"

#include <criterion/criterion.h>

//! What a router sends where as upstreams leave, restart or lose their entry.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

//! What was learned of an upstream ends with its incarnation.
Test(core, ARestartedUpstreamHoldsAndRunsNothing)
{
  Bench bench;
  bench.ListOne(1000);
  const auto first = bench.Place(bench.Ask(7));
  cr_assert(bench.Place(bench.Ask(7)).running == 1);
  bench.ListOne(2000);
  const auto after = bench.Place(bench.Ask(7));
  cr_assert(after.upstreamId == first.upstreamId);
  cr_assert(after.upstream != first.upstream);
  cr_assert(after.missingTokens == kPromptTokens);
  cr_assert(after.running == 0 && after.unreadTokens == 0);
  bench.fleet.Ended(first.attempt, AttemptEnd::Broken, bench.now);
  cr_assert(bench.Place(bench.Ask(8)).running == 1);
}

//! Others may not know of the restart yet.
Test(core, WhatOthersTellOfAnEarlierIncarnationDoesNotCount)
{
  Bench bench;
  bench.ListOne(2000);
  PeerReport report;
  report.router = "r2";
  report.life = 1;
  report.sequence = 1;
  report.loads = { { UpstreamIdOf("u0", 1000), 50000, 20 } };
  report.uses = { { 7, UpstreamIdOf("u0", 1000) } };
  bench.fleet.Take(report, bench.now);
  const auto place = bench.Place(bench.Ask(7));
  cr_assert(place.running == 0);
  cr_assert(place.missingTokens == kPromptTokens);
}

Test(core, AnUnusableEntryGetsNoWork)
{
  Bench bench;
  bench.List(2);
  UpstreamEntry bad;
  bad.id = "u0";
  bad.usable = false;
  bench.fleet.Upstreams().Put(bad);
  bench.fleet.FollowUpstreams(bench.now);
  for (std::uint64_t prefix = 0; prefix < 6; ++prefix) {
    cr_assert(bench.Place(bench.Ask(prefix)).upstreamId == "u1");
  }
}

Test(core, AnUpstreamThatDrainsGetsNothingMore)
{
  Bench bench;
  bench.List(2);
  const auto first = bench.Place(bench.Ask(7));
  UpstreamEntry leaving;
  leaving.id = first.upstreamId;
  leaving.service = "engines";
  leaving.draining = true;
  bench.fleet.Upstreams().Put(leaving);
  bench.fleet.FollowUpstreams(bench.now);
  for (int i = 0; i < 20; ++i) {
    cr_assert(bench.Place(bench.Ask(7)).upstreamId != first.upstreamId);
  }
}

//! Found on a standard day: the list had dropped a lapsed upstream, and
//! requests went on going there.
Test(core, AnUpstreamThatIsGoneGetsNothingMore)
{
  Bench bench;
  bench.List(2);
  bench.fleet.Upstreams().Remove("u0", bench.now);
  bench.fleet.FollowUpstreams(bench.now);
  for (std::uint64_t i = 0; i < 20; ++i) {
    const auto place = bench.Place(bench.Ask(i));
    cr_assert(place.upstreamId == "u1");
    bench.fleet.Ended(place.attempt, AttemptEnd::Answered, bench.now);
  }
  bench.fleet.Upstreams().Remove("u1", bench.now);
  bench.fleet.FollowUpstreams(bench.now);
  cr_assert(bench.Place(bench.Ask(1)).outcome == PlaceOutcome::NoUpstream);
}
