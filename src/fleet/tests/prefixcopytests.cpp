#include "fleet/fleet.h"
#include "fleet/fleetconstants.h"
#include "fleet/prefixcopy.h"

#include <criterion/criterion.h>

#include <set>

//! When an engine copies what another one has read.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr double kTokensPerMs = 50;
//! Holds nothing yet.
constexpr PrefixReader kReader{ UpstreamId(99), "z0", 0, kTokensPerMs };

Service
Linked()
{
  Service service;
  service.name = "engines";
  service.engineSlots = 64;
  service.memoryTokens = 600000;
  service.bytesPerToken = 18000;
  service.copyMbps = 180000;
  return service;
}

PrefixHolder
Holder(std::uint32_t aId, std::uint32_t aTokens, std::string_view aZone = "z0")
{
  return { UpstreamId(aId), aTokens, aZone };
}

//! A router over linked engines in two zones.
struct LinkedFleet
{
  explicit LinkedFleet(int aEngines, const Service& aService = Linked())
    : fleet({ "r1", "z0", 1 })
  {
    work.outputTokens = 50;
    auto config = std::make_shared<FleetConfig>();
    config->version = 1;
    config->services["engines"] = aService;
    fleet.SetConfig(config);
    route.kind = CallKind::Stream;
    route.target = 1000ms;
    for (int i = 0; i < aEngines; ++i) {
      UpstreamEntry entry;
      entry.id = "e" + std::to_string(i);
      entry.service = "engines";
      entry.address = { "10.0.0." + std::to_string(i + 1), 80 };
      entry.zone = "z" + std::to_string(i % 2);
      entry.slots = 64;
      entries.push_back(entry);
    }
    fleet.Upstreams().Replace(entries, now);
    fleet.FollowUpstreams(now);
  }

  //! Another router reads aTokens in a second and runs aRunning requests at the
  //! first engine.
  void Read(double aTokens, std::uint32_t aRunning)
  {
    PeerReport report;
    report.router = "r2";
    report.life = 1;
    report.sequence = ++reports;
    report.reading = aTokens;
    report.loads = { { UpstreamIdOf(entries.front()), 0, aRunning } };
    fleet.Tick(now);
    fleet.Take(report, now);
    now += 1000ms;
    fleet.Tick(now);
  }

  PlaceResult Place(std::uint64_t aPrefix, std::vector<UpstreamId> aAvoid = {})
  {
    work.promptTokens = 6000;
    work.prompt = { { 1, 500 }, { aPrefix, 4500 }, { ++lastOwn, 1000 } };
    PlaceRequest request;
    request.route = &route;
    request.work = &work;
    request.service = "engines";
    request.workspace = WorkspaceIdOf("w");
    request.key = lastOwn * 7919;
    request.timeLeft = 6000ms;
    request.avoid = std::move(aAvoid);
    request.admitted = true;
    return fleet.Place(request, now);
  }

  void Serve(std::uint64_t aPrefix)
  {
    fleet.Ended(Place(aPrefix).attempt, AttemptEnd::Answered, now);
  }

  Fleet fleet;
  Route route;
  Work work;
  std::vector<UpstreamEntry> entries;
  TimePoint now{ 100000 };
  std::uint64_t lastOwn = 1000000;
  std::uint64_t reports = 0;
};

}

Test(prefixcopy, TheHolderOfMostGivesOneNearbyBeforeOthers)
{
  const auto service = Linked();
  const std::vector<PrefixHolder> holders{ Holder(1, 500),
                                           Holder(2, 5000, "z1"),
                                           Holder(3, 5000) };
  const auto copy = ChooseCopy(
    service, holders, { UpstreamId(99), "z0", 500, kTokensPerMs }, 9);
  cr_assert(copy && copy->from == UpstreamId(3));
  cr_assert(copy->tokens == 4500);
  cr_assert(copy->millis < 4500 / kTokensPerMs);
}

Test(prefixcopy, ManyRequestsDoNotAllTurnToOneHolder)
{
  const std::vector<PrefixHolder> holders{ Holder(1, 5000),
                                           Holder(2, 5000),
                                           Holder(3, 5000) };
  std::set<UpstreamId> used;
  for (std::uint64_t key = 1; key < 50; ++key) {
    used.insert(ChooseCopy(Linked(), holders, kReader, key * 7919)->from);
  }
  cr_assert(used.size() == 3);
}

Test(prefixcopy, WhatIsReadAboutAsQuicklyIsRead)
{
  const auto little = std::vector{ Holder(1, 100) };
  cr_assert(!ChooseCopy(Linked(), little, kReader, 9));
  auto slow = Linked();
  slow.copyMbps = 1000;
  const auto much = std::vector{ Holder(1, 5000) };
  cr_assert(!ChooseCopy(slow, much, kReader, 9));
}

Test(prefixcopy, EnginesWithoutLinksReadAll)
{
  auto unlinked = Linked();
  unlinked.copyMbps = 0;
  const auto holders = std::vector{ Holder(1, 5000) };
  cr_assert(!ChooseCopy(unlinked, holders, kReader, 9));
}

Test(prefixcopy, AnotherEngineCopiesWhatOneHasRead)
{
  LinkedFleet bench(6);
  const auto first = bench.Place(7);
  cr_assert(first.copyFrom.port == 0);
  cr_assert(first.missingTokens == 6000);
  const auto second = bench.Place(7, { first.upstream });
  cr_assert(second.upstream != first.upstream);
  cr_assert(second.copyFrom == first.address);
  cr_assert(second.copiedTokens == 5000);
  cr_assert(second.missingTokens == 1000);
}

Test(prefixcopy, WhatLeavesOrIsGoneOrRestartedGivesNothing)
{
  for (const char* how : { "draining", "gone", "restarted" }) {
    LinkedFleet bench(6);
    const auto first = bench.Place(7);
    auto entry = bench.fleet.Upstreams().Entries().at(first.upstreamId);
    entry.draining = how == std::string("draining");
    entry.startedAt = 5;
    if (how == std::string("gone")) {
      bench.fleet.Upstreams().Remove(entry.id, bench.now);
    } else {
      bench.fleet.Upstreams().Put(entry);
    }
    bench.fleet.FollowUpstreams(bench.now);
    cr_assert(bench.Place(7, { first.upstream }).copyFrom.port == 0, "%s", how);
  }
}

//! A configuration may drop a service whose routes or upstreams stay.
Test(prefixcopy, AServiceThatIsNoLongerNamedCopiesNothing)
{
  LinkedFleet bench(6);
  const auto first = bench.Place(7);
  auto config = std::make_shared<FleetConfig>();
  config->version = 2;
  bench.fleet.SetConfig(config);
  const auto second = bench.Place(7, { first.upstream });
  cr_assert(second.outcome == PlaceOutcome::Placed);
  cr_assert(second.copyFrom.port == 0);
}

//! Nothing of one deployment's engines is built in.
Test(prefixcopy, HowLongAPrefixIsKeptFollowsFromTheMemoryThatIsSaid)
{
  for (const double memory : { 100000.0, 1000000.0 }) {
    auto service = Linked();
    service.memoryTokens = memory;
    service.copyMbps = 0;
    LinkedFleet bench(1, service);
    bench.Place(7);
    bench.Read(300000, 0);
    const bool held = bench.Place(7).missingTokens < 6000;
    cr_assert(held == (memory > 300000));
  }
}

//! Prefixes were believed to be kept for as long as if an engine's memory held
//! nothing but what it had read; the request that followed one read it again.
Test(prefixcopy, WhatIsGeneratedMakesPrefixesOld)
{
  for (const std::uint32_t output : { 0, 6000 }) {
    auto service = Linked();
    service.copyMbps = 0;
    LinkedFleet bench(1, service);
    bench.work.outputTokens = output;
    for (int i = 0; i < 200; ++i) {
      bench.Serve(100 + i);
    }
    bench.Serve(7);
    bench.Read(400000, 0);
    const bool held = bench.Place(7).missingTokens == 1000;
    cr_assert(held == (output == 0), "%u", output);
  }
}

//! What was copied to an engine and what it generated fills its memory too.
Test(memoryuse, CopiedAndGeneratedTokensCountAsFilled)
{
  MemoryUse use;
  cr_assert(use.FilledPerRead() == 1.0);
  cr_assert(use.TokensOfRunning() == 0.0);
  Work work;
  work.promptTokens = 6000;
  work.outputTokens = 200;
  work.prompt = { { 1, 5000 }, { 2, 1000 } };
  for (int i = 0; i < 3; ++i) {
    use.Begun(work, 1000, 800);
  }
  cr_assert_float_eq(use.FilledPerRead(), 2.0, 0.01);
  cr_assert_float_eq(use.TokensOfRunning(), 1100, 0.01);
  for (int i = 0; i < 2000; ++i) {
    use.Begun(work, 0, 6000);
  }
  cr_assert(use.FilledPerRead() <= 4.0);
}

//! An engine that had given up a prefix read it again beside others that held
//! it.
Test(prefixcopy, AHolderIsToldOfAnotherOne)
{
  LinkedFleet bench(2);
  const auto first = bench.Place(7);
  const auto second = bench.Place(7, { first.upstream });
  const auto third = bench.Place(7, { first.upstream });
  cr_assert(third.upstream == second.upstream);
  cr_assert(third.missingTokens == 1000 && third.copiedTokens == 0);
  cr_assert(third.copyFrom == first.address);
}

//! A running request's own tokens are kept until it has ended.
Test(prefixcopy, WhatRunsLeavesLessMemoryForPrompts)
{
  for (const std::uint32_t running : { 1, 500 }) {
    LinkedFleet bench(1);
    for (int i = 0; i < 200; ++i) {
      bench.Place(100 + i);
    }
    bench.Place(7);
    bench.Read(100000, running);
    const bool held = bench.Place(7).missingTokens == 1000;
    cr_assert(held == (running == 1), "%u", running);
  }
}

//! One caller's number of tokens made a router take all prefixes for gone.
Test(prefixcopy, ARequestThatNoEngineCanHoldMakesNoPrefixOld)
{
  LinkedFleet bench(1);
  bench.Serve(7);
  bench.work.outputTokens = 4000000000;
  bench.Serve(8);
  bench.work.outputTokens = 50;
  bench.Read(100000, 1);
  cr_assert(bench.Place(7).missingTokens == 1000);
}
