#include "fleet/fairshare.h"
#include "fleet/freshness.h"
#include "fleet/peerview.h"
#include "fleet/routetable.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <limits>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

ConfigPtr
ConfigWith(std::vector<Route> aRoutes)
{
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  config->routes = std::move(aRoutes);
  return config;
}

Route
RouteOf(const std::string& aHost, const std::string& aPrefix)
{
  Route route;
  route.name = aPrefix;
  route.host = aHost;
  route.prefix = aPrefix;
  return route;
}

}

// ---- routes

Test(routetable, TheLongestPrefixOfTheHostWins)
{
  const RouteTable table(ConfigWith({ RouteOf("a.example", "/x/"),
                                      RouteOf("a.example", "/x/y/"),
                                      RouteOf("b.example", "/x/") }));
  cr_assert(table.Match("a.example", "/x/y/z")->prefix == "/x/y/");
  cr_assert(table.Match("a.example", "/x/yy/z")->prefix == "/x/");
  cr_assert(table.Match("B.example:80", "/x/1")->host == "b.example");
  cr_assert(table.Match("a.example", "/x") == nullptr);
  cr_assert(table.Match("a.example", "/") == nullptr);
  cr_assert(table.Match("c.example", "/x/1") == nullptr);
  cr_assert(table.Match("a.example", "") == nullptr);
}

//! The search for shorter prefixes must end without a host, too.
Test(routetable, AHostWithoutANameMatchesNothing)
{
  const RouteTable table(ConfigWith({ RouteOf("a.example", "/x/") }));
  for (const char* host : { "", ":8443", "[::1]:80" }) {
    for (const char* path : { "/", "/none/x", "//", "*" }) {
      cr_assert(table.Match(host, path) == nullptr);
    }
  }
}

Test(routetable, ARouteOfTheRootMatchesEveryPath)
{
  const RouteTable table(ConfigWith({ RouteOf("a.example", "/") }));
  cr_assert(table.Match("a.example", "/anything/at/all") != nullptr);
}

Test(routetable, AnyPathMatchesAsInALinearSearch)
{
  const std::vector<std::string> prefixes{
    "/", "/a/", "/a/b/", "/b/a/", "/a/b/c/"
  };
  std::vector<Route> routes;
  routes.reserve(prefixes.size());
  for (const auto& prefix : prefixes) {
    routes.push_back(RouteOf("h", prefix));
  }
  const RouteTable table(ConfigWith(routes));
  const bool held = rc::check([&] {
    std::string path = "/";
    const auto parts = *rc::gen::container<std::vector<char>>(
      rc::gen::element('a', 'b', 'c', '/'));
    path.append(parts.begin(), parts.end());
    std::string best;
    for (const auto& prefix : prefixes) {
      if (path.starts_with(prefix) && prefix.size() > best.size()) {
        best = prefix;
      }
    }
    const auto* found = table.Match("h", path);
    RC_ASSERT(found != nullptr);
    RC_ASSERT(found->prefix == best);
  });
  cr_assert(held);
}

Test(routetable, ASplitFollowsItsWeights)
{
  Route route;
  route.split = { { "a", 90 }, { "b", 10 }, { "c", 0 } };
  int toB = 0;
  for (std::uint64_t key = 0; key < 1000; ++key) {
    const auto& service = *ChooseService(route, key);
    cr_assert(service != "c");
    toB += service == "b" ? 1 : 0;
  }
  cr_assert(toB == 100);
  cr_assert(ChooseService(Route{}, 1) == nullptr);
}

// ---- fair shares

Test(fairshare, TheShareIsMaxMinFair)
{
  WorkspaceRates rates;
  rates[WorkspaceId(1)].demand = 10;
  rates[WorkspaceId(2)].demand = 50;
  rates[WorkspaceId(3)].demand = 500;
  cr_assert(MaxMinShare(rates, 1000) ==
            std::numeric_limits<double>::infinity());
  cr_assert_float_eq(MaxMinShare(rates, 110), 50, 1e-9);
  cr_assert_float_eq(MaxMinShare(rates, 90), 40, 1e-9);
  cr_assert_float_eq(MaxMinShare(rates, 15), 5, 1e-9);
}

Test(fairshare, MaxMinSharesUseExactlyTheCapacityOrTheDemand)
{
  const bool held = rc::check([] {
    WorkspaceRates rates;
    const auto asked = *rc::gen::container<std::vector<double>>(rc::gen::map(
      rc::gen::inRange(0, 10000), [](int aNumber) { return aNumber * 1.0; }));
    double sum = 0;
    for (std::size_t i = 0; i < asked.size(); ++i) {
      rates[WorkspaceId(static_cast<std::uint32_t>(i))].demand = asked[i];
      sum += asked[i];
    }
    const double capacity = *rc::gen::inRange(1, 20000);
    const double share = MaxMinShare(rates, capacity);
    double given = 0;
    for (const double one : asked) {
      given += std::min(one, share);
    }
    RC_ASSERT(given <= capacity + 1e-6);
    RC_ASSERT(given >= std::min(sum, capacity) - 1e-6);
  });
  cr_assert(held);
}

Test(fairshare, DemandDecaysOverTime)
{
  DemandMeter meter;
  meter.AddDemand(WorkspaceId(1), 2000, 1000ms);
  const double before = meter.Rates(1000ms).at(WorkspaceId(1)).demand;
  const double after = meter.Rates(3000ms).at(WorkspaceId(1)).demand;
  cr_assert_float_eq(before, 1000, 1);
  cr_assert_float_eq(after, 1000 / 2.718281828, 1);
  cr_assert(meter.Rates(60000ms).empty());
}

// ---- freshness and reports of other routers

Test(freshness, WithoutProofKeysExpireBeforeTheRevocationBound)
{
  Freshness freshness;
  freshness.Configure(5000ms);
  cr_assert(!freshness.MayUseKeys(0ms));
  freshness.RecordProof(1000ms);
  cr_assert(freshness.MayUseKeys(5400ms));
  cr_assert(!freshness.MayUseKeys(5600ms));
  freshness.RecordProof(500ms); // an older proof changes nothing
  cr_assert(freshness.MayUseKeys(5400ms));
  Freshness unbounded;
  cr_assert(unbounded.MayUseKeys(1000000ms));
}

Test(peerview, LoadsOfLiveRoutersAddUpAndExpire)
{
  PeerView view;
  PeerReport report;
  report.router = "a";
  report.incarnation = 1;
  report.sequence = 1;
  report.loads = { { UpstreamId(1), 100, 2 } };
  cr_assert(view.Take(report, 0ms));
  report.router = "b";
  report.loads = { { UpstreamId(1), 50, 1 } };
  cr_assert(view.Take(report, 500ms));
  cr_assert(view.LoadOf(UpstreamId(1)).unreadTokens == 150);
  cr_assert(view.OldestReportAge(600ms) == 600ms);
  view.Forget(1200ms);
  cr_assert(view.LoadOf(UpstreamId(1)).unreadTokens == 50);
  cr_assert(view.RouterCount() == 1);
}

Test(peerview, AnOldReportDoesNotReplaceANewOne)
{
  PeerView view;
  PeerReport report;
  report.router = "a";
  report.incarnation = 2;
  report.sequence = 5;
  cr_assert(view.Take(report, 0ms));
  report.sequence = 4;
  cr_assert(!view.Take(report, 0ms));
  report.incarnation = 1;
  report.sequence = 9;
  cr_assert(!view.Take(report, 0ms));
  report.incarnation = 3;
  report.sequence = 1;
  cr_assert(view.Take(report, 0ms));
}
