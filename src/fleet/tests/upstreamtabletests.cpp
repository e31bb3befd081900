#include "fleet/evacuations.h"
#include "fleet/upstreamtable.h"
#include "fleetfixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cmath>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

//! Coldness that a configuration allows, in requests per second.
constexpr double kColdRequestsPerSecond = 5;

UpstreamTable::Services
ConfiguredServices()
{
  UpstreamTable::Services services;
  services["engines"].name = "engines";
  services["engines"].engineSlots = 64;
  services["engines"].coldRequestsPerSecond = kColdRequestsPerSecond;
  services["plain"].name = "plain";
  return services;
}

//! Adds up a service's capacity upstream by upstream.
UpstreamCapacity
CountCapacity(const UpstreamTable& aTable,
              const std::string& aService,
              TimePoint aNow)
{
  UpstreamCapacity sum;
  for (const auto& [id, upstream] : aTable.All()) {
    if (upstream.entry->service != aService || !upstream.AcceptsWork(aNow)) {
      continue;
    }
    sum.upstreams++;
    sum.slots += upstream.entry->slots;
    sum.prefillTokensPerMs +=
      upstream.IsEngine() ? upstream.prefillRate.TokensPerMs() : 0.0;
  }
  return sum;
}

bool
IsSame(const UpstreamCapacity& aFirst, const UpstreamCapacity& aOther)
{
  return aFirst.upstreams == aOther.upstreams && aFirst.slots == aOther.slots &&
         std::abs(aFirst.prefillTokensPerMs - aOther.prefillTokensPerMs) < 1e-6;
}

UpstreamEntry
DrawEntry()
{
  UpstreamEntry entry;
  entry.id = "u" + std::to_string(*rc::gen::inRange(0, 12));
  entry.service = *rc::gen::element<std::string>("engines", "plain", "other");
  entry.zone = *rc::gen::element<std::string>("zone-a", "zone-b");
  entry.slots = *rc::gen::inRange<std::uint32_t>(0, 9);
  entry.draining = *rc::gen::inRange(0, 4) == 0;
  entry.coldFor = Duration(*rc::gen::element(0, 0, 300, 900));
  return entry;
}

}

//! After any series of changes, the capacity that is kept up to date equals the
//! one counted anew.
Test(upstreamtable, TheCapacityFollowsEachChange)
{
  const bool held = rc::check([] {
    UpstreamTable table;
    Evacuations evacuations;
    TimePoint now(1000);
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const auto entry = DrawEntry();
      const auto id = UpstreamIdOf(entry);
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          table.Remove(id);
          break;
        case 1:
          if (auto* upstream = table.Find(id)) {
            table.LearnPrefill(*upstream, 2000, *rc::gen::inRange(20, 900));
          }
          break;
        case 2:
          evacuations.Put({ entry.zone, 1 }, now);
          table.SetEvacuations(evacuations, 500ms, now);
          break;
        case 3:
          evacuations.Replace({}, now);
          evacuations.Proven(now);
          table.SetEvacuations(evacuations, 500ms, now);
          break;
        case 4:
          table.SetServices(ConfiguredServices());
          break;
        default:
          table.Put(
            std::make_shared<const UpstreamEntry>(entry), evacuations, now);
      }
      now += Duration(*rc::gen::inRange(0, 400));
      table.Tick(now);
      for (const std::string name : { "engines", "plain", "other" }) {
        const auto* service = table.FindService(name);
        const auto expected = CountCapacity(table, name, now);
        RC_ASSERT(
          IsSame(service == nullptr ? UpstreamCapacity{} : service->capacity,
                 expected));
      }
    }
  });
  cr_assert(held);
}

//! False alarms must not leave a service without upstreams, however many other
//! upstreams and services there are.
Test(upstreamtable, AtMostHalfOfAServiceIsEjected)
{
  FleetFixture fixture;
  fixture.ListUpstreams(6, 40);
  const TimePoint now = fixture.now;
  UpstreamTable table;
  Evacuations evacuations;
  for (const auto& [id, entry] : fixture.fleet.Upstreams().Entries()) {
    table.Put(entry, evacuations, now);
  }
  int ejected = 0;
  for (const auto id : table.FindService("engines")->ids) {
    for (int i = 0; i < kFailuresToEject; ++i) {
      ejected += table.RecordFailure(id, now) ? 1 : 0;
    }
  }
  cr_assert(ejected == 3, "%d of 6 ejected", ejected);
}

//! A router of a large fleet knows thousands of upstreams and sends a few
//! requests a second. What it examines for a request and in a report interval
//! must follow its own requests, not the list.
Test(upstreamtable, ARequestExaminesFewUpstreamsOfAnyList)
{
  for (const int engines : { 300, 3000, 12000 }) {
    FleetFixture fixture;
    fixture.ListUpstreams(engines, engines / 20);
    std::vector<PlaceResult> placed;
    for (std::uint64_t i = 0; i < 20; ++i) {
      placed.push_back(fixture.Place(fixture.MakeRequest(i)));
      cr_assert(placed.back().outcome == PlaceOutcome::Placed);
    }
    const auto examined = fixture.fleet.UpstreamsExamined();
    fixture.now += kReportInterval;
    fixture.fleet.Tick(fixture.now);
    const auto report = fixture.fleet.MakeReport(0ms, fixture.now);
    cr_assert(report.loads.size() <= placed.size());
    const auto inInterval = fixture.fleet.UpstreamsExamined() - examined;
    cr_assert(inInterval <= 4 * placed.size(),
              "%llu upstreams examined in an interval with %d engines",
              static_cast<unsigned long long>(inInterval),
              engines);
    cr_assert(examined <= 60 * placed.size(),
              "%llu upstreams examined for 20 requests with %d engines",
              static_cast<unsigned long long>(examined),
              engines);
  }
}

//! In a fleet with more engines than work, most of the loads that a hub adds up
//! change no decision. They made up most of the bytes that each router got.
Test(core, AHubLeavesQuietEnginesOutOfTheFleetSum)
{
  FleetFixture fixture;
  fixture.ListUpstreams(4, 1);
  ExchangePlan plan;
  plan.group = 7;
  plan.groupHubs = { { "10.0.0.1", 1 } };
  fixture.fleet.SetPlan(plan);
  PeerReport report;
  report.router = "r2";
  report.incarnation = 1;
  report.sequence = 1;
  report.group = 7;
  report.loads = { { UpstreamIdOf("u0"), 0, 4 },
                   { UpstreamIdOf("u1"), 16, 1 },
                   { UpstreamIdOf("u2"), 0, 5 },
                   { UpstreamIdOf("u4"), 0, 1 },
                   { UpstreamIdOf("unlisted"), 0, 1 } };
  cr_assert(fixture.fleet.ApplyReport(report, fixture.now));
  const auto own = fixture.fleet.MakeReport(0ms, fixture.now);
  std::set<UpstreamId> sent;
  for (const auto& load :
       fixture.fleet.MakeFleetReport(own, fixture.now).loads) {
    sent.insert(load.upstream);
  }
  cr_assert(sent.size() == 4);
  cr_assert(!sent.contains(UpstreamIdOf("u0")));
}
