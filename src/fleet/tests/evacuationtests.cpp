#include "corefixture.h"
#include "fleet/newslog.h"

#include <criterion/criterion.h>

//! Evacuated availability zones: what is believed of them and what goes there.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

const std::vector<std::string> kZones{ "zone-a", "zone-b", "zone-c" };

//! Nine engines and three plain upstreams in three zones.
void
ListZones(Bench& aBench)
{
  std::vector<UpstreamEntry> entries;
  for (std::size_t i = 0; i < 12; ++i) {
    UpstreamEntry entry;
    entry.id = "u" + std::to_string(i);
    entry.service = i < 9 ? "engines" : "plain";
    entry.slots = i < 9 ? 64 : 6;
    entry.zone = kZones[i % kZones.size()];
    entries.push_back(entry);
  }
  aBench.fleet.Upstreams().Replace(entries, aBench.now);
  aBench.fleet.FollowUpstreams(aBench.now);
}

void
Evacuate(Bench& aBench, const std::string& aZone)
{
  aBench.fleet.Evacuated().Put({ aZone, 7 }, aBench.now);
  aBench.fleet.FollowUpstreams(aBench.now);
}

void
Restore(Bench& aBench, const std::string& aZone)
{
  aBench.fleet.Evacuated().Remove(aZone);
  aBench.fleet.Evacuated().Proven(aBench.now);
  aBench.fleet.FollowUpstreams(aBench.now);
}

std::string
ZoneOf(const Bench& aBench, const std::string& aUpstream)
{
  return aBench.fleet.Upstreams().Entries().at(aUpstream).zone;
}

PlaceRequest
PlainCall(Bench& aBench)
{
  auto request = aBench.Ask(1);
  aBench.work = Work{};
  request.service = "plain";
  return request;
}

}

Test(evacuations, OneCountsAsSoonAsItIsTold)
{
  Evacuations zones;
  const auto notices = zones.Put({ "zone-a", 5 }, 100ms);
  cr_assert(notices.size() == 1);
  cr_assert(notices[0].change == ZoneChange::Evacuated);
  cr_assert(zones.Contains("zone-a"));
  cr_assert(zones.Put({ "zone-a", 5 }, 120ms).empty());
}

//! A source that was cut off from the store before the evacuation tells none.
Test(evacuations, ASourceWithOlderProofEndsNone)
{
  Evacuations zones;
  zones.Put({ "zone-a", 5 }, 1000ms);
  cr_assert(zones.Replace({}, 1100ms).empty());
  cr_assert(zones.Proven(999ms).empty());
  cr_assert(zones.Contains("zone-a"));
  const auto notices = zones.Proven(1000ms);
  cr_assert(notices.size() == 1);
  cr_assert(notices[0].change == ZoneChange::Restored);
  cr_assert(!zones.Contains("zone-a"));
}

//! A watch was asked before both, and tells both in one answer.
Test(evacuations, EvacuatedAndRestoredInOneAnswerEndsWithTheNextProof)
{
  Evacuations zones;
  zones.Put({ "zone-a", 5 }, 1000ms);
  zones.Remove("zone-a");
  cr_assert(zones.Proven(800ms).empty());
  cr_assert(zones.Proven(1001ms).size() == 1);
}

Test(evacuations, OneThatIsToldAgainGoesOn)
{
  Evacuations zones;
  zones.Put({ "zone-a", 5 }, 1000ms);
  zones.Replace({ { "zone-a", 9 } }, 1500ms);
  cr_assert(zones.Proven(2000ms).empty());
  cr_assert(zones.InForce().size() == 1);
  cr_assert(zones.InForce()[0].revision == 9);
  zones.Remove("zone-b"); // was never told
  cr_assert(zones.Proven(2100ms).empty());
}

Test(newslog, EvacuationsAreToldToFollowersAndStrangers)
{
  NewsLog log(7);
  log.SetUpstreams({});
  const auto first = log.Answer({}, 0ms);
  cr_assert(first.evacuations && first.evacuations->empty());
  log.SetEvacuations({ { "zone-a", 5 } });
  const NewsAsk follower{ first.life, first.sequence, 0 };
  cr_assert(log.HasNews(follower));
  const auto second = log.Answer(follower, 0ms);
  cr_assert(second.evacuations->at(0).zone == "zone-a");
  cr_assert(second.removed.empty());
  cr_assert(log.Answer({}, 0ms).evacuations->size() == 1);
  cr_assert(!log.HasNews({ second.life, second.sequence, 0 }));
  log.SetEvacuations({});
  cr_assert(log.HasNews({ second.life, second.sequence, 0 }));
}

//! First tries, retries and requests of no prompt alike.
Test(core, AnEvacuatedZoneGetsNothingNew)
{
  Bench bench;
  ListZones(bench);
  Evacuate(bench, "zone-b");
  for (std::uint64_t i = 0; i < 60; ++i) {
    auto request = i % 3 == 0 ? PlainCall(bench) : bench.Ask(i);
    request.admitted = i % 2 == 0;
    const auto place = bench.Place(request);
    cr_assert(place.outcome == PlaceOutcome::Placed);
    cr_assert(ZoneOf(bench, place.upstreamId) != "zone-b");
    bench.fleet.Ended(place.attempt, AttemptEnd::Answered, bench.now);
  }
}

//! What runs there ends as if nothing had happened, and teaches the same.
Test(core, WhatRunsInAnEvacuatedZoneEndsThere)
{
  Bench bench;
  bench.List(1);
  const auto place = bench.Place(bench.Ask(7));
  Evacuate(bench, "zone-a");
  bench.fleet.FirstToken(place.attempt, bench.now);
  cr_assert(!bench.fleet.Ended(place.attempt, AttemptEnd::Answered, bench.now));
  cr_assert(bench.fleet.Status(bench.now).at(0).running == 0);
  cr_assert(bench.fleet.Status(bench.now).at(0).evacuated);
}

//! There is no fallback to upstreams that are to get nothing.
Test(core, WithAllZonesEvacuatedARequestIsRefusedAtOnce)
{
  Bench bench;
  ListZones(bench);
  for (const auto& zone : kZones) {
    Evacuate(bench, zone);
  }
  const auto place = bench.Place(bench.Ask(7));
  cr_assert(place.outcome == PlaceOutcome::NoUpstream);
  cr_assert(place.suitability == Suitability::Evacuated);
  cr_assert(place.retryAfter == kNoUpstreamWaitMost);
  Restore(bench, "zone-c");
  const auto after = bench.Place(bench.Ask(7));
  cr_assert(after.outcome == PlaceOutcome::Placed);
  cr_assert(ZoneOf(bench, after.upstreamId) == "zone-c");
}

//! Upstreams that failed come in where there are no others; not these.
Test(core, AnEvacuatedZoneIsNoResortForAServiceThatFails)
{
  Bench bench;
  ListZones(bench);
  Evacuate(bench, "zone-a");
  Evacuate(bench, "zone-b");
  for (std::uint64_t i = 0; i < 40; ++i) {
    const auto place = bench.Place(bench.Ask(i));
    if (place.outcome == PlaceOutcome::Placed) {
      cr_assert(ZoneOf(bench, place.upstreamId) == "zone-c");
      bench.fleet.Ended(place.attempt, AttemptEnd::Unreachable, bench.now);
    }
  }
}

Test(core, AnUnknownZoneIsEvacuatedWithoutHarm)
{
  Bench bench;
  ListZones(bench);
  Evacuate(bench, "zone-x");
  cr_assert(bench.fleet.UpstreamsOfZone("zone-x") == 0);
  cr_assert(bench.Place(bench.Ask(7)).outcome == PlaceOutcome::Placed);
}

//! An upstream that is listed only after its zone was evacuated.
Test(core, AnUpstreamThatStartsInAnEvacuatedZoneGetsNothing)
{
  Bench bench;
  Evacuate(bench, "zone-b");
  ListZones(bench);
  for (std::uint64_t i = 0; i < 30; ++i) {
    const auto place = bench.Place(bench.Ask(i));
    cr_assert(ZoneOf(bench, place.upstreamId) != "zone-b");
    bench.fleet.Ended(place.attempt, AttemptEnd::Answered, bench.now);
  }
}

//! Engines of an evacuated zone give no prompt memory either.
Test(core, NothingIsCopiedFromAnEvacuatedZone)
{
  Bench bench;
  auto config = std::make_shared<FleetConfig>(*Config(2));
  auto& service = config->services["engines"];
  service.memoryTokens = 200000;
  service.bytesPerToken = 1000;
  service.copyMbps = 400000;
  bench.fleet.SetConfig(config);
  ListZones(bench);
  const auto first = bench.Place(bench.Ask(7, "w", 12000));
  bench.fleet.FirstToken(first.attempt, bench.now);
  Evacuate(bench, ZoneOf(bench, first.upstreamId));
  const auto second = bench.Place(bench.Ask(7, "w", 12000));
  cr_assert(second.outcome == PlaceOutcome::Placed);
  cr_assert(second.copiedTokens == 0);
  Restore(bench, ZoneOf(bench, first.upstreamId));
}
