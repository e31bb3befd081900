#include "fleet/exchangeclock.h"
#include "fleet/fleetconstants.h"
#include "fleet/membership.h"
#include "fleet/peerview.h"
#include "quarantine/quarantine.h"
#include "quarantine/quarantineconstants.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <random>
#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

base::Address
AddressOf(int aRouter)
{
  return { "10.0." + std::to_string(aRouter / 200) + "." +
             std::to_string(1 + aRouter % 200),
           7400 };
}

//! One router's membership and view, without a socket.
struct Router
{
  Router(int aIndex, int aZones, const std::vector<base::Address>& aSeeds)
    : name("r" + std::to_string(aIndex))
    , address(AddressOf(aIndex))
    , zone(1 + static_cast<std::uint32_t>(aIndex % aZones))
    , members(address, zone, aSeeds)
  {
  }

  std::string name;
  base::Address address;
  std::uint32_t zone;
  Membership members;
  PeerView view;
  quarantine::Quarantine quarantine;
  std::uint64_t sequence = 0;
  bool alive = true;
  std::vector<base::Address> relays;
  int sent = 0;
  int got = 0;
};

//! Routers that exchange reports through a network that loses some. Each
//! has one request running at the one upstream there is.
class Net
{
public:
  Net(int aRouters, int aZones)
  {
    const std::vector<base::Address> seeds{ AddressOf(0), AddressOf(1) };
    for (int i = 0; i < aRouters; ++i) {
      routers.push_back(std::make_unique<Router>(i, aZones, seeds));
      m_byAddress[AddressOf(i).Text()] = routers.back().get();
    }
  }

  void Step()
  {
    now += kReportPeriod;
    for (auto& router : routers) {
      if (router->alive) {
        Tell(*router);
      }
    }
  }

  void Steps(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Step();
    }
  }

  std::uint32_t Seen(const Router& aRouter) const
  {
    return aRouter.view.LoadOf(UpstreamId(1)).running;
  }

  TimePoint now{ 1000000 };
  double loss = 0;
  int betweenZones = 0; //!< zone sums sent
  std::vector<std::unique_ptr<Router>> routers;

private:
  void Tell(Router& aRouter)
  {
    aRouter.members.Forget(now);
    aRouter.view.Forget(now);
    const auto plan = aRouter.members.Plan(now);
    aRouter.view.SetRole(plan.isHub, plan.group);
    PeerReport own;
    own.router = aRouter.name;
    own.life = 1;
    own.sequence = ++aRouter.sequence;
    own.sentAt = now;
    own.zone = aRouter.zone;
    own.group = plan.group;
    own.heard = aRouter.view.Heard();
    own.loads = { { UpstreamId(1), 10, 1 } };
    if (own.sequence % kMembersEvery == 0) {
      own.members = aRouter.members.Known(now);
    }
    own.crashNews = aRouter.quarantine.TellNews(now);
    if (own.sequence % kQuarantineEvery == 0) {
      own.crashNews = aRouter.quarantine.TellInTurn(now);
    }
    aRouter.view.Sent(own);
    Send(aRouter, own, plan.tell);
    if (plan.SumsUp()) {
      Send(aRouter, aRouter.view.GroupSum(own, now), plan.hubs);
      TellOtherZones(aRouter, plan, own);
      if (plan.TellsFollowers(
            static_cast<std::uint64_t>(now / kReportPeriod))) {
        Send(aRouter, aRouter.view.FleetSum(own, now), plan.followers);
      }
    }
    auto greeting = own;
    greeting.wantsMembers = true;
    Send(aRouter, greeting, aRouter.members.SeedsToTell(now));
  }

  void TellOtherZones(Router& aRouter,
                      const ExchangePlan& aPlan,
                      const PeerReport& aOwn)
  {
    aRouter.relays = aPlan.relays;
    if (!aPlan.Speaks(aOwn.sequence)) {
      return;
    }
    auto sum = aRouter.view.ZoneSum(aOwn, now);
    sum.members.clear();
    if (aOwn.sequence / aPlan.speakers % kZoneMembersEvery == 0) {
      sum.members = aRouter.members.KnownOfZone(aRouter.zone, now);
    }
    const auto contacts = aPlan.ZoneContacts(aOwn.sequence);
    betweenZones += static_cast<int>(contacts.size());
    Send(aRouter, sum, contacts);
  }

  void Send(Router& aFrom,
            const PeerReport& aReport,
            const std::vector<base::Address>& aTo)
  {
    for (const auto& address : aTo) {
      aFrom.sent++;
      const auto found = m_byAddress.find(address.Text());
      const bool lost = std::uniform_real_distribution<>(0, 1)(m_random) < loss;
      if (found == m_byAddress.end() || !found->second->alive || lost) {
        continue;
      }
      Deliver(aFrom, aReport, *found->second);
    }
  }

  void Deliver(Router& aFrom, const PeerReport& aReport, Router& aTo)
  {
    aTo.got++;
    if (!aReport.relayed) {
      aTo.members.Heard(aFrom.address, aReport.zone, now);
    }
    aTo.members.Learn(aReport.members, now);
    aTo.quarantine.Take(aReport.crashNews, now);
    const bool taken = aTo.view.Take(aReport, now);
    if (taken && aReport.scope == ReportScope::Zone && !aReport.relayed) {
      auto relayed = aReport;
      relayed.relayed = true;
      Send(aTo, relayed, aTo.relays);
    }
    if (aReport.wantsMembers) {
      aFrom.members.Heard(aTo.address, aTo.zone, now);
      aFrom.members.Learn(aTo.members.Known(now), now);
    }
  }

  std::map<std::string, Router*> m_byAddress;
  std::mt19937 m_random{ 7 };
};

}

Test(exchange, SevenRoutersSeeEachOtherDirectly)
{
  Net net(7, 3);
  net.Steps(30);
  for (const auto& router : net.routers) {
    cr_assert(net.Seen(*router) == 6, "%u", net.Seen(*router));
    cr_assert(router->view.Routers() == 6);
  }
}

Test(exchange, ManyRoutersSeeTheWholeFleetWithFewDatagrams)
{
  for (const int size : { 30, 89, 320 }) {
    Net net(size, 4);
    net.Steps(60);
    for (auto& router : net.routers) {
      router->sent = 0;
      router->got = 0;
    }
    net.Steps(20);
    for (const auto& router : net.routers) {
      const auto seen = static_cast<int>(net.Seen(*router));
      cr_assert(std::abs(seen - (size - 1)) <= 1, "%d of %d", seen, size);
      // The largest part is a hub's: its group, and two hubs a group.
      const int groups = (size + 23) / 24 + 4;
      cr_assert(router->sent <= 20 * (26 + 2 * groups), "%d", router->sent);
    }
  }
}

//! The load: hundreds of routers. What crosses zones grows with the zones, not
//! with the routers or their groups.
Test(exchange, WhatCrossesZonesDoesNotGrowWithTheFleet)
{
  for (const int size : { 30, 89, 320 }) {
    Net net(size, 4);
    net.Steps(60);
    net.betweenZones = 0;
    net.Steps(20);
    cr_assert(net.betweenZones <= 20 * 4 * 3, "%d", net.betweenZones);
  }
}

//! A speaker is lost: until that is known the other one tells half as often.
Test(exchange, ALostSpeakerLeavesNoGap)
{
  Net net(89, 4);
  net.Steps(60);
  for (auto& router : net.routers) {
    const auto plan = router->members.Plan(net.now);
    if (!plan.otherZones.empty() && plan.speaker == 0) {
      router->alive = false;
      break;
    }
  }
  for (int i = 0; i < 60; ++i) {
    net.Step();
    for (const auto& router : net.routers) {
      cr_assert(!router->alive || net.Seen(*router) >= 85,
                "%u after %d",
                net.Seen(*router),
                i);
    }
  }
}

//! Two hubs that each told all that the other told made half of all bytes.
Test(exchange, AGroupsHubsTakeTurns)
{
  for (std::size_t hubs = 1; hubs <= kHubsOfGroup; ++hubs) {
    for (std::uint64_t period = 0; period < 10; ++period) {
      int told = 0;
      for (std::size_t rank = 0; rank < hubs; ++rank) {
        ExchangePlan plan;
        plan.groupHubs.resize(hubs);
        plan.hubRank = rank;
        told += plan.TellsFollowers(period) ? 1 : 0;
      }
      cr_assert(told == 1);
    }
  }
}

//! All routers in one availability zone, and too few for a second group:
//! there is no other group to tell, but there are followers.
Test(exchange, OneGroupAloneSeesItsWholeFleet)
{
  Net net(20, 1);
  net.Steps(60);
  for (const auto& router : net.routers) {
    cr_assert(net.Seen(*router) == 19, "%u", net.Seen(*router));
  }
}

Test(exchange, ALostHubIsReplaced)
{
  Net net(40, 2);
  net.Steps(60);
  int killed = 0;
  for (auto& router : net.routers) {
    if (router->members.Plan(net.now).isHub && killed < 3) {
      router->alive = false;
      killed++;
    }
  }
  cr_assert(killed == 3);
  net.Steps(60);
  for (const auto& router : net.routers) {
    if (router->alive) {
      cr_assert(net.Seen(*router) == 36, "%u", net.Seen(*router));
    }
  }
}

Test(exchange, HearsayKeepsNoLostRouterAlive)
{
  Net net(7, 3);
  net.Steps(30);
  net.routers[3]->alive = false;
  net.Steps(200);
  for (const auto& router : net.routers) {
    if (router->alive) {
      cr_assert(router->members.Alive(net.now) == 6);
      cr_assert(router->members.Known(net.now).size() == 5);
    }
  }
}

Test(exchange, AFleetThatStartsAllAtOnceFindsItselfThoughDatagramsGetLost)
{
  Net net(89, 4);
  net.loss = 0.1;
  net.Steps(40);
  for (const auto& router : net.routers) {
    cr_assert(router->members.Alive(net.now) == 89,
              "%zu",
              router->members.Alive(net.now));
  }
}

Test(exchange, AllRoutersAgreeOnTheHubs)
{
  Net net(89, 4);
  net.Steps(60);
  std::map<std::uint64_t, std::set<std::string>> hubs;
  for (const auto& router : net.routers) {
    const auto plan = router->members.Plan(net.now);
    if (plan.isHub) {
      hubs[plan.group].insert(router->name);
    }
  }
  for (const auto& [group, names] : hubs) {
    cr_assert(names.size() == kHubsOfGroup);
  }
}

//! Routers whose rounds fall anywhere in a step take the stages of a period in
//! their order: what one told waits for no period on its way.
Test(exchange, StagesFollowEachOtherWhereverRoundsFall)
{
  for (std::int64_t offset = 0; offset < 20; offset += 7) {
    ExchangeClock clock;
    std::vector<ExchangeStage> seen;
    for (std::int64_t at = 1000; at < 1200; at += 20) {
      for (const auto stage : clock.Due(Duration(at + offset))) {
        seen.push_back(stage);
      }
    }
    const std::vector<ExchangeStage> period{ ExchangeStage::Own,
                                             ExchangeStage::GroupSums,
                                             ExchangeStage::ZoneSums,
                                             ExchangeStage::FleetSums };
    cr_assert(seen.size() == 2 * period.size());
    for (std::size_t i = 0; i < seen.size(); ++i) {
      cr_assert(seen[i] == period[i % period.size()]);
    }
  }
}

Test(exchange, AStageThatALateRoundPassedIsCaughtUpWithOnce)
{
  ExchangeClock clock;
  clock.Due(Duration(1000));
  cr_assert(clock.Due(Duration(1070)).size() == 3);
  cr_assert(clock.Due(Duration(9000)).size() == 4, "each stage once");
}

//! A clock that jumps, either way, stops nothing.
Test(exchange, AClockThatStepsBackStopsNothing)
{
  ExchangeClock clock;
  clock.Due(Duration(100000));
  int stages = 0;
  for (std::int64_t at = 5000; at < 5200; at += 20) {
    stages += static_cast<int>(clock.Due(Duration(at)).size());
  }
  cr_assert(stages == 8);
}

//! The age of loads goes with them on their way through hubs.
Test(exchange, LoadsThatWereSummedUpKeepTheirAge)
{
  PeerView hub;
  hub.SetRole(true, 7);
  PeerReport told;
  told.router = "far";
  told.sequence = 1;
  told.scope = ReportScope::Zone;
  told.zone = 3;
  told.routers = 3;
  told.loadAge = 80ms;
  const TimePoint now(50000);
  hub.Take(told, now);
  hub.Forget(now);
  cr_assert(hub.NewsAge(now + 20ms) == 100ms);
  PeerReport own;
  own.router = "hub";
  own.sentAt = now + 20ms;
  const auto sum = hub.FleetSum(own, now + 20ms);
  cr_assert(sum.routers == 4 && sum.loadAge == 75ms, "3 of 100 ms, one of 0");
}

//! The load: a request that comes to any of hundreds of routers. Three see an
//! upstream crash under it, each another one.
Test(exchange, ACrashingRequestIsKnownToAllRoutersWithinASecond)
{
  constexpr RequestFingerprint kCrashing{ 0xbad };
  for (const int size : { 6, 60, 320 }) {
    Net net(size, 4);
    net.Steps(60);
    net.loss = 0.1;
    for (std::uint32_t i = 0; i < quarantine::kCrashesToQuarantine; ++i) {
      auto& witness = *net.routers.at(static_cast<std::size_t>(size) - 1 - i);
      witness.quarantine.Crashed(kCrashing, UpstreamId(100 + i), net.now);
    }
    net.Steps(10);
    for (const auto& router : net.routers) {
      cr_assert(router->quarantine.HeldFor(kCrashing, 0, net.now).has_value(),
                "%s of %d",
                router->name.c_str(),
                size);
    }
  }
}

//! Nothing is told any more as news, and the router knows nothing.
Test(exchange, ARouterThatStartsHearsWhatIsQuarantined)
{
  constexpr RequestFingerprint kCrashing{ 0xbad };
  for (const int size : { 6, 60 }) {
    Net net(size, 4);
    auto& late = *net.routers.back();
    late.alive = false;
    net.Steps(60);
    for (std::uint32_t i = 0; i < quarantine::kCrashesToQuarantine; ++i) {
      net.routers.front()->quarantine.Crashed(
        kCrashing, UpstreamId(100 + i), net.now);
    }
    net.Steps(100);
    late.alive = true;
    net.Steps(25);
    cr_assert(late.quarantine.HeldFor(kCrashing, 0, net.now).has_value());
  }
}
