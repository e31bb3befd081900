#include "fleet/exchangeplan.h"
#include "fleet/fleetconstants.h"
#include "fleet/sourceoptions.h"
#include "fleet/sourceselector.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

//! The sources of a router that has just started.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

const StoreSource kStore{};
const StoreSource kHubA{ SourceKind::Router, { "10.0.0.1", 1 } };
const StoreSource kHubB{ SourceKind::Router, { "10.0.0.2", 1 } };

}

//! The seeds of a fleet that lost power may start a little later than a router.
Test(sourceselector, AStartingRouterAsksAllSeedsAndTheStoreSoonAfter)
{
  SourceContext view;
  view.self = { "10.0.0.9", 1 };
  view.seeds = { kHubA.address, kHubB.address };
  view.seedWait = kDefaultSeedWait;
  SourceSelector policy;
  policy.SetOptions(MakeSourceOptions(view, {}), 0ms);
  cr_assert(policy.Current() == kHubA);
  std::set<std::string> asked{ kHubA.address.Text() };
  TimePoint now{};
  while (!(policy.Current() == kStore)) {
    now += kDefaultSeedWait + 1ms;
    cr_assert(policy.Tick(now));
    asked.insert(policy.Current().address.Text());
    cr_assert(now <= kStartSpread + 3 * kDefaultSeedWait);
  }
  cr_assert(asked.contains(kHubB.address.Text()));
  cr_assert(now >= kStartSpread);
}

//! A router that waits for a seed learns of the fleet and asks its hub, however
//! many seeds it has tried.
Test(sourceselector, AWaitingRouterTurnsToItsHubOnceItKnowsTheFleet)
{
  SourceContext view;
  view.self = { "10.0.0.9", 1 };
  view.seeds = { kHubA.address };
  view.seedWait = kDefaultSeedWait;
  ExchangePlan plan;
  plan.isHub = false;
  plan.groupHubs = { kHubB.address };
  SourceSelector policy;
  policy.SetOptions(MakeSourceOptions(view, {}), 0ms);
  policy.Tick(kDefaultSeedWait + 1ms); // tries the same seed again
  policy.Pending(100ms);
  view.sinceStart = 101ms;
  view.proofAge = view.sinceStart;
  policy.SetOptions(MakeSourceOptions(view, plan), 101ms);
  cr_assert(policy.Current() == kHubB);
}

//! A starting router that knows of a large fleet follows a hub of its group,
//! and without data of the store falls back to the seeds.
Test(sourceselector, ARouterThatHasStartedAndKnowsTheFleetFollowsItsHub)
{
  SourceContext view;
  view.self = { "10.0.0.9", 1 };
  view.seeds = { kHubA.address };
  view.sinceStart = 500ms;
  view.proofAge = 100ms;
  ExchangePlan plan;
  plan.isHub = false;
  plan.groupHubs = { kHubB.address };
  plan.storeReadRank = kStoreReaders;
  cr_assert(MakeSourceOptions(view, plan).order.front() == kHubB);
  view.proofAge = view.sinceStart;
  const auto order = MakeSourceOptions(view, plan).order;
  cr_assert(order.at(0) == kHubB && order.at(1) == kHubA);
  cr_assert(order.back() == kStore);
}

Test(sourceselector, AStartingSeedReadsTheStore)
{
  SourceContext view;
  view.seeds = { kHubB.address };
  view.isSeed = true;
  SourceSelector policy;
  policy.SetOptions(MakeSourceOptions(view, {}), 0ms);
  cr_assert(policy.Current() == kStore);
}

//! After a start of all, the seeds left the store as soon as they had the list,
//! and the readers took five seconds to list it. No router had a recent proof,
//! and all refused requests with keys for a second.
Test(sourceselector, ASeedReadsTheStoreUntilTheReadersHaveListedIt)
{
  SourceContext view;
  view.self = { "10.0.0.9", 1 };
  view.seeds = { kHubB.address };
  view.isSeed = true;
  view.proofAge = 100ms;
  ExchangePlan plan;
  plan.isHub = false;
  plan.groupHubs = { kHubA.address };
  plan.storeReadRank = kStoreReaders;
  for (const auto sinceStart : { 700ms, 2500ms, 5000ms, 9900ms }) {
    view.sinceStart = sinceStart;
    cr_assert(MakeSourceOptions(view, plan).order.front() == kStore);
  }
  view.sinceStart = kMaxStartTime;
  cr_assert(MakeSourceOptions(view, plan).order.front() == kHubA);
}

Test(sourceselector, ASilentSourceIsLeftAfterTheSeedWaitAtTheStart)
{
  SourceOptions options;
  options.order = { kHubA, kStore };
  options.firstAnswerTimeout = kDefaultSeedWait;
  SourceSelector policy;
  policy.SetOptions(options, 0ms);
  policy.Tick(kDefaultSeedWait + 20ms);
  cr_assert(policy.Current() == kStore);
}
