#include "corefixture.h"
#include "fleet/membership.h"

#include <criterion/criterion.h>

//! Cold upstreams: what all routers together send them.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr double kColdPerSecond = 9.8;
constexpr ColdLimit kLimit{ 1.5, 5 };
constexpr double kMostInASecond =
  kColdPerSecond * kLimit.overrun + kLimit.slack;
constexpr UpstreamId kUpstream{ 77 };

std::vector<std::uint32_t>
Hashes(std::size_t aCount)
{
  std::vector<std::uint32_t> hashes;
  for (std::size_t i = 0; i < aCount; ++i) {
    hashes.push_back(base::HashName("10.0.0." + std::to_string(i)));
  }
  return hashes;
}

//! Routers over one cold upstream, each with its own view, and the largest
//! number of requests in any second of some.
struct Routers
{
  void Add(const RouterSet& aView)
  {
    routers.emplace_back();
    routers.back().Configure(kLimit);
    routers.back().SetRouters(aView);
  }

  std::size_t MostInASecond()
  {
    std::vector<TimePoint> sent;
    std::size_t most = 0;
    for (auto now = 0ms; now < 5000ms; now += 5ms) {
      for (auto& router : routers) {
        if (router.MaySend(kUpstream, kColdPerSecond, now)) {
          router.Sent(kUpstream, now);
          sent.push_back(now);
        }
      }
      std::erase_if(sent, [&](TimePoint aAt) { return now - aAt >= 1000ms; });
      most = std::max(most, sent.size());
    }
    return most;
  }

  std::vector<WarmUp> routers;
};

//! A router's members with some of them heard lately.
RouterSet
ViewOf(std::size_t aSelf, std::size_t aAll, std::size_t aHeard, TimePoint aNow)
{
  const auto address = [](std::size_t aRouter) {
    return base::Address{ "10.0.0." + std::to_string(aRouter), 80 };
  };
  Membership members(address(aSelf), 1, { address(0), address(1) });
  for (std::size_t i = 0; i < aAll; ++i) {
    if (i != aSelf) {
      members.Heard(address(i), 1, 0ms);
    }
  }
  for (std::size_t i = 0; i < aHeard; ++i) {
    if (i != aSelf) {
      members.Heard(address(i), 1, aNow);
    }
  }
  members.Forget(aNow);
  return members.Plan(aNow).routers;
}

UpstreamEntry
ColdEntry(const std::string& aId, Duration aColdFor)
{
  UpstreamEntry entry;
  entry.id = aId;
  entry.service = "engines";
  entry.zone = "zone-a";
  entry.slots = 64;
  entry.coldFor = aColdFor;
  return entry;
}

//! A router that owns no cold upstream unless it is told so.
struct ColdBench : Bench
{
  ColdBench()
  {
    auto config = std::make_shared<FleetConfig>(*Config(2));
    config->services["engines"].coldPerSecond = kColdPerSecond;
    fleet.SetConfig(config);
  }

  void Put(const UpstreamEntry& aEntry)
  {
    fleet.Upstreams().Put(aEntry);
    fleet.FollowUpstreams(now);
  }

  void OwnAll()
  {
    ExchangePlan plan;
    plan.routers = { 1, { 1 }, true };
    fleet.SetPlan(plan);
  }
};

}

Test(warmup, OneRouterOfManySends)
{
  const auto hashes = Hashes(67);
  Routers fleet;
  for (const auto self : hashes) {
    fleet.Add({ self, hashes, true });
  }
  const auto most = fleet.MostInASecond();
  cr_assert(most > 5, "%zu", most);
  cr_assert(most <= kColdPerSecond + 1, "%zu", most);
}

//! Half of the routers know a router that the others don't.
Test(warmup, TwoOwnersByDifferentViewsKeepTheLimit)
{
  const auto some = Hashes(40);
  const auto all = Hashes(67);
  Routers fleet;
  for (std::size_t i = 0; i < all.size(); ++i) {
    fleet.Add({ all[i], i % 2 == 0 ? all : some, true });
  }
  cr_assert(static_cast<double>(fleet.MostInASecond()) <= kMostInASecond);
}

//! Each knows itself alone then.
Test(warmup, RoutersThatAllJustStartedSendNothing)
{
  Routers fleet;
  for (std::size_t i = 0; i < 67; ++i) {
    fleet.Add(ViewOf(i, 67, 67, kRoutersSettle / 2));
  }
  cr_assert(fleet.MostInASecond() == 0);
}

Test(warmup, RoutersThatKnowEachOtherShareOut)
{
  Routers fleet;
  for (std::size_t i = 0; i < 67; ++i) {
    fleet.Add(ViewOf(i, 67, 67, kRoutersSettle));
  }
  const auto most = fleet.MostInASecond();
  cr_assert(most > 0 && static_cast<double>(most) <= kMostInASecond);
}

//! Eleven of them, cut off from the rest and from each other, and the rest.
Test(warmup, RoutersThatAreCutOffKeepTheLimit)
{
  for (const auto after : { 3500ms, 9000ms, 12000ms }) {
    Routers fleet;
    for (std::size_t i = 0; i < 67; ++i) {
      fleet.Add(i >= 56 ? ViewOf(i, 67, 0, after) : ViewOf(i, 67, 56, after));
    }
    cr_assert(static_cast<double>(fleet.MostInASecond()) <= kMostInASecond);
  }
}

//! Each half may have an owner.
Test(warmup, AFleetSplitInTwoKeepsTheLimit)
{
  Routers fleet;
  for (std::size_t i = 0; i < 40; ++i) {
    RouterSet view{ Hashes(40)[i], {}, true };
    for (std::size_t j = i % 2; j < 40; j += 2) {
      view.routers.push_back(Hashes(40)[j]);
    }
    fleet.Add(view);
  }
  cr_assert(static_cast<double>(fleet.MostInASecond()) <= kMostInASecond);
}

Test(core, AColdUpstreamIsPassedOverUntilItIsWarm)
{
  ColdBench bench;
  bench.List(1);
  bench.Put(ColdEntry("cold", 3000ms));
  for (std::uint64_t i = 0; i < 30; ++i) {
    const auto place = bench.Place(bench.Ask(i));
    cr_assert(place.upstreamId == "u0");
    bench.fleet.Ended(place.attempt, AttemptEnd::Answered, bench.now);
  }
  bench.now += 3000ms;
  bool used = false;
  for (std::uint64_t i = 100; i < 130; ++i) {
    const auto place = bench.Place(bench.Ask(i));
    used = used || place.upstreamId == "cold";
    bench.fleet.Ended(place.attempt, AttemptEnd::Answered, bench.now);
  }
  cr_assert(used);
}

//! It turned cold while it served.
Test(core, AnUpstreamThatBecomesColdAgainIsPassedOver)
{
  ColdBench bench;
  bench.Put(ColdEntry("a", 0ms));
  bench.Put(ColdEntry("b", 0ms));
  bench.now += 5000ms;
  bench.Put(ColdEntry("a", 2500ms));
  for (std::uint64_t i = 0; i < 30; ++i) {
    const auto place = bench.Place(bench.Ask(i));
    cr_assert(place.upstreamId == "b");
    bench.fleet.Ended(place.attempt, AttemptEnd::Answered, bench.now);
  }
}

//! A heartbeat that says the same as before makes nothing cold for longer.
Test(core, AnEntryThatIsListedAgainDoesNotProlongItsCold)
{
  ColdBench bench;
  bench.Put(ColdEntry("a", 2000ms));
  bench.now += 1900ms;
  bench.Put(ColdEntry("a", 2000ms));
  cr_assert(bench.Place(bench.Ask(1)).outcome == PlaceOutcome::NoUpstream);
  bench.now += 100ms;
  cr_assert(bench.Place(bench.Ask(1)).outcome == PlaceOutcome::Placed);
}

//! It is cold at the end of the evacuation, which its entry says a heartbeat
//! later; idle, it would draw requests from all routers at once.
Test(core, AnUpstreamOfARestoredZoneIsTakenForColdAtFirst)
{
  ColdBench bench;
  bench.List(1);
  auto entry = ColdEntry("restored", 0ms);
  entry.zone = "zone-b";
  bench.Put(entry);
  bench.fleet.Evacuated().Put({ "zone-b", 3 }, bench.now);
  bench.fleet.FollowUpstreams(bench.now);
  bench.now += 5000ms;
  bench.fleet.Evacuated().Remove("zone-b");
  bench.fleet.Evacuated().Proven(bench.now);
  bench.fleet.FollowUpstreams(bench.now);
  for (std::uint64_t i = 0; i < 30; ++i) {
    const auto place = bench.Place(bench.Ask(i));
    cr_assert(place.upstreamId == "u0");
    bench.fleet.Ended(place.attempt, AttemptEnd::Answered, bench.now);
  }
  const auto cold = bench.fleet.Status(bench.now).at(0).coldFor +
                    bench.fleet.Status(bench.now).at(1).coldFor;
  cr_assert(cold == 2400ms);
}

//! All of a service's upstreams are cold: the owner sends what they bear, the
//! rest comes back.
Test(core, WhereAllAreColdTheOwnerSendsWhatTheyBear)
{
  ColdBench bench;
  bench.Put(ColdEntry("a", 20000ms));
  const auto refused = bench.Place(bench.Ask(1));
  cr_assert(refused.outcome == PlaceOutcome::NoUpstream);
  cr_assert(refused.suitability == Suitability::Cold);
  cr_assert(refused.retryAfter == kNoUpstreamWaitMost);
  bench.OwnAll();
  int placed = 0;
  for (int i = 0; i < 400; ++i, bench.now += 5ms) {
    const auto place = bench.Place(bench.Ask(i));
    if (place.outcome == PlaceOutcome::Placed) {
      placed++;
      bench.fleet.FirstToken(place.attempt, bench.now);
      bench.fleet.Ended(place.attempt, AttemptEnd::Answered, bench.now);
    }
  }
  cr_assert(placed >= 4 && placed <= 2 * kColdPerSecond + 1, "%d", placed);
}

//! Only a service whose upstreams say what they bear has such a limit.
Test(core, AColdUpstreamOfAServiceWithoutALimitIsUsed)
{
  Bench bench;
  bench.fleet.Upstreams().Put(ColdEntry("a", 3000ms));
  bench.fleet.FollowUpstreams(bench.now);
  cr_assert(bench.Place(bench.Ask(1)).outcome == PlaceOutcome::Placed);
}
