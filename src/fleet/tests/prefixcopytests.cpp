#include "fleet/fleet.h"
#include "fleet/fleetconstants.h"
#include "fleet/prefixcopy.h"

#include <criterion/criterion.h>

#include <set>

//! When an engine copies KV cache that another engine holds.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr double kTokensPerMs = 50;
//! An engine that holds nothing of the prompt.
constexpr VersionId kVersion{ 1 };
constexpr CopyRecipient kReader{ UpstreamId(99),
                                 "z0",
                                 0,
                                 kTokensPerMs,
                                 kVersion };

Service
LinkedService()
{
  Service service;
  service.name = "engines";
  service.engineSlots = 64;
  service.kvCacheTokens = 600000;
  service.kvBytesPerToken = 18000;
  service.copyMbps = 180000;
  return service;
}

PrefixHolder
Holder(std::uint32_t aId, std::uint32_t aTokens, std::string_view aZone = "z0")
{
  return { UpstreamId(aId), aTokens, aZone, kVersion };
}

//! A router with engines in two zones that can copy from each other.
struct LinkedFleet
{
  explicit LinkedFleet(int aEngines, const Service& aService = LinkedService())
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
      entry.softwareVersion = "v1";
      entries.push_back(entry);
    }
    fleet.Upstreams().Replace(entries, now);
    fleet.UpdateUpstreams(now);
  }

  //! Reports that another router has aTokens prefilled in a second and aRunning
  //! requests running at the first engine.
  void ReportPrefill(double aTokens, std::uint32_t aRunning)
  {
    PeerReport report;
    report.router = "r2";
    report.incarnation = 1;
    report.sequence = ++lastReport;
    report.prefillDemand = aTokens;
    report.loads = { { UpstreamIdOf(entries.front()), 0, aRunning } };
    fleet.Tick(now);
    fleet.ApplyReport(report, now);
    now += 1000ms;
    fleet.Tick(now);
  }

  //! Places a request whose prompt has a common head, the prefix and a unique
  //! part.
  PlaceResult Place(std::uint64_t aPrefix, std::vector<UpstreamId> aAvoid = {})
  {
    work.promptTokens = 6000;
    work.prompt = { { 1, 500 }, { aPrefix, 4500 }, { ++lastUniquePart, 1000 } };
    PlaceRequest request;
    request.route = &route;
    request.work = &work;
    request.service = "engines";
    request.workspace = WorkspaceIdOf("w");
    request.key = lastUniquePart * 7919;
    request.timeLeft = 6000ms;
    request.triedUpstreams = std::move(aAvoid);
    request.admitted = true;
    return fleet.Place(request, now);
  }

  //! Places such a request and answers it.
  void Serve(std::uint64_t aPrefix)
  {
    fleet.EndAttempt(Place(aPrefix).attempt, AttemptOutcome::Answered, now);
  }

  Fleet fleet;
  Route route;
  Work work;
  std::vector<UpstreamEntry> entries;
  TimePoint now{ 100000 };
  std::uint64_t lastUniquePart = 1000000;
  std::uint64_t lastReport = 0;
};

}

Test(prefixcopy, ACopyComesFromTheNearestHolderOfTheLongestPrefix)
{
  const auto service = LinkedService();
  const std::vector<PrefixHolder> holders{ Holder(1, 500),
                                           Holder(2, 5000, "z1"),
                                           Holder(3, 5000) };
  const auto copy = ChooseCopySource(
    service, holders, { UpstreamId(99), "z0", 500, kTokensPerMs, kVersion }, 9);
  cr_assert(copy && copy->from == UpstreamId(3));
  cr_assert(copy->tokens == 4500);
  cr_assert(copy->durationMs < 4500 / kTokensPerMs);
}

Test(prefixcopy, CopiesAreSpreadOverEqualHolders)
{
  const std::vector<PrefixHolder> holders{ Holder(1, 5000),
                                           Holder(2, 5000),
                                           Holder(3, 5000) };
  std::set<UpstreamId> used;
  for (std::uint64_t key = 1; key < 50; ++key) {
    used.insert(
      ChooseCopySource(LinkedService(), holders, kReader, key * 7919)->from);
  }
  cr_assert(used.size() == 3);
}

Test(prefixcopy, NothingIsCopiedIfPrefillTakesAboutAsLong)
{
  const auto little = std::vector{ Holder(1, 100) };
  cr_assert(!ChooseCopySource(LinkedService(), little, kReader, 9));
  auto slow = LinkedService();
  slow.copyMbps = 1000;
  const auto much = std::vector{ Holder(1, 5000) };
  cr_assert(!ChooseCopySource(slow, much, kReader, 9));
}

Test(prefixcopy, EnginesWithoutLinksCopyNothing)
{
  auto unlinked = LinkedService();
  unlinked.copyMbps = 0;
  const auto holders = std::vector{ Holder(1, 5000) };
  cr_assert(!ChooseCopySource(unlinked, holders, kReader, 9));
}

Test(prefixcopy, AnEngineCopiesWhatAnotherOneHolds)
{
  LinkedFleet fixture(6);
  const auto first = fixture.Place(7);
  cr_assert(first.copyFrom.port == 0);
  cr_assert(first.missingTokens == 6000);
  const auto second = fixture.Place(7, { first.upstream });
  cr_assert(second.upstream != first.upstream);
  cr_assert(second.copyFrom == first.address);
  cr_assert(second.copiedTokens == 5000);
  cr_assert(second.missingTokens == 1000);
}

Test(prefixcopy, DrainingGoneAndRestartedUpstreamsAreNoCopySource)
{
  for (const char* how : { "draining", "gone", "restarted" }) {
    LinkedFleet fixture(6);
    const auto first = fixture.Place(7);
    auto entry = *fixture.fleet.Upstreams().Entries().at(first.upstreamId);
    entry.draining = how == std::string("draining");
    entry.startedAt = 5;
    if (how == std::string("gone")) {
      fixture.fleet.Upstreams().Remove(entry.id, fixture.now);
    } else {
      fixture.fleet.Upstreams().Put(entry);
    }
    fixture.fleet.UpdateUpstreams(fixture.now);
    cr_assert(fixture.Place(7, { first.upstream }).copyFrom.port == 0,
              "copied from an upstream that is %s",
              how);
  }
}

Test(prefixcopy, AnEngineOfAnotherVersionIsNoCopySource)
{
  auto holder = Holder(1, 5000);
  holder.version = VersionId(2);
  cr_assert(!ChooseCopySource(LinkedService(), { holder }, kReader, 9));
  cr_assert(
    ChooseCopySource(LinkedService(), { holder, Holder(2, 4000) }, kReader, 9)
      ->from == UpstreamId(2));
  holder.version = VersionId::Unknown;
  auto unknown = kReader;
  unknown.version = VersionId::Unknown;
  cr_assert(!ChooseCopySource(LinkedService(), { holder }, unknown, 9));
}

//! A configuration may drop a service whose routes or upstreams remain.
Test(prefixcopy, AServiceDroppedFromTheConfigurationCopiesNothing)
{
  LinkedFleet fixture(6);
  const auto first = fixture.Place(7);
  auto config = std::make_shared<FleetConfig>();
  config->version = 2;
  fixture.fleet.SetConfig(config);
  const auto second = fixture.Place(7, { first.upstream });
  cr_assert(second.outcome == PlaceOutcome::Placed);
  cr_assert(second.copyFrom.port == 0);
}

//! No property of one deployment's engines is built in: the memory size is
//! configured.
Test(prefixcopy, TheConfiguredMemoryDecidesHowLongAPrefixIsKept)
{
  for (const double memory : { 100000.0, 1000000.0 }) {
    auto service = LinkedService();
    service.kvCacheTokens = memory;
    service.copyMbps = 0;
    LinkedFleet fixture(1, service);
    fixture.Place(7);
    fixture.ReportPrefill(300000, 0);
    const bool held = fixture.Place(7).missingTokens < 6000;
    cr_assert(held == (memory > 300000));
  }
}

//! Prefixes were assumed to stay cached as if an engine's memory held only what
//! it had prefilled. The next request with such a prefix prefilled it again.
Test(prefixcopy, GeneratedTokensAgePrefixes)
{
  for (const std::uint32_t output : { 0, 6000 }) {
    auto service = LinkedService();
    service.copyMbps = 0;
    LinkedFleet fixture(1, service);
    fixture.work.outputTokens = output;
    for (int i = 0; i < 200; ++i) {
      fixture.Serve(100 + i);
    }
    fixture.Serve(7);
    fixture.ReportPrefill(400000, 0);
    const bool held = fixture.Place(7).missingTokens == 1000;
    cr_assert(held == (output == 0), "%u output tokens", output);
  }
}

//! Copied and generated tokens fill an engine's memory like prefilled ones.
Test(kvcacheuse, CopiedAndGeneratedTokensCountAsFilled)
{
  KvCacheUse use;
  cr_assert(use.FilledPerPrefillToken() == 1.0);
  cr_assert(use.MeanRunningTokens() == 0.0);
  Work work;
  work.promptTokens = 6000;
  work.outputTokens = 200;
  work.prompt = { { 1, 5000 }, { 2, 1000 } };
  for (int i = 0; i < 3; ++i) {
    use.RecordRequest(work, 1000, 800);
  }
  cr_assert_float_eq(use.FilledPerPrefillToken(), 2.0, 0.01);
  cr_assert_float_eq(use.MeanRunningTokens(), 1100, 0.01);
  for (int i = 0; i < 2000; ++i) {
    use.RecordRequest(work, 0, 6000);
  }
  cr_assert(use.FilledPerPrefillToken() <= 4.0);
}

//! An engine that had evicted a prefix prefilled it again although other
//! engines held it. An assumed holder is therefore given another one to copy
//! from.
Test(prefixcopy, AnAssumedHolderIsGivenAnotherHolder)
{
  LinkedFleet fixture(2);
  const auto first = fixture.Place(7);
  const auto second = fixture.Place(7, { first.upstream });
  const auto third = fixture.Place(7, { first.upstream });
  cr_assert(third.upstream == second.upstream);
  cr_assert(third.missingTokens == 1000 && third.copiedTokens == 0);
  cr_assert(third.copyFrom == first.address);
}

//! The tokens of a running request stay in memory until it has ended.
Test(prefixcopy, RunningRequestsLeaveLessMemoryForPrefixes)
{
  for (const std::uint32_t running : { 1, 500 }) {
    LinkedFleet fixture(1);
    for (int i = 0; i < 200; ++i) {
      fixture.Place(100 + i);
    }
    fixture.Place(7);
    fixture.ReportPrefill(100000, running);
    const bool held = fixture.Place(7).missingTokens == 1000;
    cr_assert(held == (running == 1), "%u running requests", running);
  }
}

//! The huge token count of one caller's request made a router assume that all
//! prefixes were evicted.
Test(prefixcopy, ARequestThatNoEngineCanHoldAgesNoPrefix)
{
  LinkedFleet fixture(1);
  fixture.Serve(7);
  fixture.work.outputTokens = 4000000000;
  fixture.Serve(8);
  fixture.work.outputTokens = 50;
  fixture.ReportPrefill(100000, 1);
  cr_assert(fixture.Place(7).missingTokens == 1000);
}
