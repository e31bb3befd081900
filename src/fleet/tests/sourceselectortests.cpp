#include "fleet/exchangeplan.h"
#include "fleet/fleetconstants.h"
#include "fleet/sourceoptions.h"
#include "fleet/sourceselector.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

const StoreSource kStore{};
const StoreSource kHubA{ SourceKind::Router, { "10.0.0.1", 1 } };
const StoreSource kHubB{ SourceKind::Router, { "10.0.0.2", 1 } };

constexpr base::Duration kStep = 20ms;
constexpr base::Duration kRevocationBound = 5000ms;
constexpr base::Duration kWatchTime = 1000ms;
constexpr base::Duration kReportTime = 300ms;

//! A router that knows the fleet, and its source of the store's data.
struct SimulatedRouter
{
  FleetMember member;
  ExchangePlan plan;
  SourceSelector policy;
  TimePoint provenAt{};
  TimePoint nextCallAt{};
  TimePoint lastUpdateAt{};
};

//! Routers that know each other, with a store that answers some of them. Calls
//! to the store are counted.
class SimulatedFleet
{
public:
  explicit SimulatedFleet(int aRouters = 295)
  {
    for (int i = 0; i < aRouters; ++i) {
      SimulatedRouter router;
      const auto low = std::to_string(1 + i % 200);
      router.member.address = { "10." + std::to_string(i / 200) + ".0." + low,
                                7400 };
      router.member.zone = 1 + static_cast<std::uint32_t>(i % 6);
      router.member.hash = base::HashName(router.member.address.Text());
      routers.push_back(router);
    }
    for (auto& router : routers) {
      std::vector<FleetMember> others;
      for (const auto& other : routers) {
        if (!(other.member.address == router.member.address)) {
          others.push_back(other.member);
        }
      }
      router.plan = MakeExchangePlan(router.member, others);
      router.provenAt = now;
      m_byAddress[router.member.address.Text()] = &router;
    }
  }

  void Run(base::Duration aFor)
  {
    for (const auto end = now + aFor; now < end; now += kStep) {
      for (auto& router : routers) {
        Step(router);
      }
      ShareFreshestReader();
    }
  }

  base::Duration OldestProof() const
  {
    base::Duration oldest{};
    for (const auto& router : routers) {
      oldest = std::max(oldest, now - router.provenAt);
    }
    return oldest;
  }

  std::vector<SimulatedRouter> routers;
  TimePoint now{ 100000 };
  std::function<bool(const SimulatedRouter&)> storeAnswers =
    [](const SimulatedRouter&) { return true; };
  int calls = 0;
  std::set<std::string> callers;

private:
  //! Reports tell all routers within kReportTime which store reader has the
  //! newest proof.
  void ShareFreshestReader()
  {
    const SimulatedRouter* freshest = nullptr;
    for (const auto& router : routers) {
      const bool reads = router.policy.Current().kind == SourceKind::Store;
      if (reads &&
          (freshest == nullptr || router.provenAt > freshest->provenAt)) {
        freshest = &router;
      }
    }
    if (freshest != nullptr && now - freshest->provenAt >= kReportTime) {
      m_freshestReader.Update(freshest->member.address, freshest->provenAt);
    }
  }

  void Step(SimulatedRouter& aRouter)
  {
    SourceContext view;
    view.self = aRouter.member.address;
    view.hash = aRouter.member.hash;
    view.sinceStart = 60000ms;
    view.proofAge = now - aRouter.provenAt;
    view.freshestReader =
      m_freshestReader.ReaderFresherThan(aRouter.provenAt, now);
    aRouter.policy.SetOptions(MakeSourceOptions(view, aRouter.plan), now);
    if (aRouter.policy.Tick(now)) {
      aRouter.nextCallAt = now;
      aRouter.lastUpdateAt = {};
    }
    const auto& source = aRouter.policy.Current();
    if (source.kind == SourceKind::Store) {
      CallStore(aRouter);
    } else {
      FollowRouter(aRouter, *m_byAddress.at(source.address.Text()));
    }
  }

  //! A watch that is answered proves the store's data as of now; a failed one
  //! is repeated. Either way the next call follows after kWatchTime.
  void CallStore(SimulatedRouter& aRouter)
  {
    if (now < aRouter.nextCallAt) {
      return;
    }
    calls++;
    callers.insert(aRouter.member.address.Text());
    if (storeAnswers(aRouter)) {
      aRouter.provenAt = now;
      aRouter.policy.Answered(0ms, now);
    }
    aRouter.nextCallAt = now + kWatchTime;
  }

  void FollowRouter(SimulatedRouter& aRouter, const SimulatedRouter& aSource)
  {
    const bool newer =
      aSource.provenAt >= aRouter.provenAt + kProofPushInterval;
    if (!newer && now - aRouter.lastUpdateAt < kNewsPollTimeout) {
      return;
    }
    aRouter.lastUpdateAt = now;
    aRouter.provenAt = std::max(aRouter.provenAt, aSource.provenAt);
    aRouter.policy.Answered(now - aSource.provenAt, now);
  }

  std::map<std::string, SimulatedRouter*> m_byAddress;
  FreshestReader m_freshestReader;
};

}

Test(sourceselector, ASilentSourceIsSkippedAndRetriedLater)
{
  SourceSelector policy;
  policy.SetOptions({ { kHubA, kHubB, kStore }, false, {}, {} }, 0ms);
  cr_assert(policy.Current() == kHubA);
  policy.Answered(100ms, 500ms);
  cr_assert(!policy.Tick(1000ms));
  cr_assert(policy.Tick(500ms + kRouterTimeout + 1ms));
  cr_assert(policy.Current() == kHubB);
  const auto at = 500ms + kRouterTimeout + 1ms;
  for (auto now = at; now < at + kSourceRetryInterval; now += 100ms) {
    policy.Answered(100ms, now);
    cr_assert(!policy.Tick(now));
  }
  policy.Answered(100ms, at + kSourceRetryInterval + 1ms);
  cr_assert(policy.Tick(at + kSourceRetryInterval + 1ms));
  cr_assert(policy.Current() == kHubA);
}

Test(sourceselector, ASourceThatIsItselfCutOffIsSkipped)
{
  SourceSelector policy;
  policy.SetOptions({ { kHubA, kHubB }, false, {}, {} }, 0ms);
  policy.Answered(kMaxSourceProofAge + 1ms, 100ms);
  cr_assert(!policy.Tick(200ms)); // else all routers would switch in circles
  policy.Answered(kMaxSourceProofAge + 1ms, kMinSourceDwell);
  cr_assert(policy.Tick(kMinSourceDwell + 1ms));
  cr_assert(policy.Current() == kHubB);
}

Test(sourceselector, AStoreThatIsTheOnlySourceIsKept)
{
  SourceSelector policy;
  policy.SetOptions({ { kStore }, false, {}, {} }, 0ms);
  cr_assert(!policy.Tick(100000ms));
  cr_assert(policy.Current() == kStore);
}

Test(sourceselector, ANewOrderIsFollowedUnlessTheFirstSourceHadFailed)
{
  SourceSelector policy;
  policy.SetOptions({ { kHubA, kStore }, false, {}, {} }, 0ms);
  cr_assert(policy.Current() == kHubA);
  policy.SetOptions({ { kHubB, kHubA, kStore }, false, {}, {} }, 100ms);
  cr_assert(policy.Current() == kHubB);
  cr_assert(policy.Tick(100ms + kRouterTimeout + 1ms));
  cr_assert(policy.Current() == kHubA);
  policy.SetOptions({ { kHubB, kStore, kHubA }, false, {}, {} }, 2000ms);
  cr_assert(policy.Current() == kHubA);
  policy.SetOptions({ { kHubB, kStore }, false, {}, {} }, 2100ms);
  cr_assert(policy.Current() == kHubB);
}

Test(sourceselector, ATakeoverLastsForAWhileAndIsRepeatedIfNeeded)
{
  SourceSelector policy;
  policy.SetOptions({ { kHubA }, false, {}, {} }, 0ms);
  policy.SetOptions({ { kHubA }, true, {}, {} }, kMinSourceDwell + 1ms);
  cr_assert(policy.Tick(kMinSourceDwell + 1ms));
  cr_assert(policy.Current() == kStore && !policy.IsPreferred());
  auto now = kMinSourceDwell + 1ms;
  policy.SetOptions({ { kHubA }, false, {}, {} }, now);
  for (const auto end = now + kSourceRetryInterval; now < end; now += 100ms) {
    policy.Answered(0ms, now);
    cr_assert(!policy.Tick(now));
  }
  now += 100ms;
  cr_assert(policy.Tick(now));
  cr_assert(policy.Current() == kHubA);
  policy.Answered(kMaxSourceProofAge + 1ms, now + 100ms);
  cr_assert(policy.Tick(now + 100ms));
  cr_assert(policy.Current() == kStore);
}

Test(sourceselector, IfAllSourcesAreCutOffEachIsKeptLongerThanTheOneBefore)
{
  SourceSelector policy;
  policy.SetOptions({ { kHubA, kHubB }, false, {}, {} }, 0ms);
  int changes = 0;
  for (TimePoint now{}; now < 20000ms; now += 100ms) {
    policy.Answered(kMaxSourceProofAge + 1ms, now);
    changes += policy.Tick(now) ? 1 : 0;
  }
  cr_assert(changes <= 9, "%d changes of source", changes);
}

Test(sourceselector, ARouterWithACutOffSourceFollowsTheFreshestReaderAtOnce)
{
  SourceSelector policy;
  policy.SetOptions({ { kHubA, kHubB }, false, {}, {} }, 0ms);
  policy.Answered(kMaxSourceProofAge, 100ms);
  policy.SetOptions({ { kHubA, kHubB }, false, 1, {} }, 101ms);
  cr_assert(policy.Tick(101ms));
  cr_assert(policy.Current() == kHubB);
}

//! The store is silent for two seconds for all routers of a small fleet, and a
//! configuration is written right after. All routers left the store and came
//! back to it three seconds later, too late for the configuration.
Test(sourceselector, AStoreThatIsSilentForAllIsKept)
{
  SourceSelector policy;
  const std::vector<StoreSource> order{ kStore, kHubA, kHubB };
  policy.SetOptions({ order, false, {}, {} }, 0ms);
  cr_assert(!policy.Tick(kStoreReaderTimeout));
  cr_assert(policy.Current() == kStore);
  policy.SetOptions({ order, false, 2, {} }, kStoreReaderTimeout);
  cr_assert(policy.Tick(kStoreReaderTimeout));
  cr_assert(policy.Current() == kHubB);
}

//! Even after a longer silence the store is tried again after each other
//! source.
Test(sourceselector, AStoreReaderReturnsToTheStoreFromACutOffSource)
{
  SourceSelector policy;
  policy.SetOptions({ { kStore, kHubA, kHubB }, false, {}, {} }, 0ms);
  auto now = kStoreReaderTimeout + 1ms;
  cr_assert(policy.Tick(now));
  cr_assert(policy.Current() == kHubA);
  for (int i = 0; i < 4; ++i) { // however often the store failed
    now += kMinSourceDwell + 1ms;
    policy.Answered(kMaxSourceProofAge + 1ms, now);
    cr_assert(policy.Tick(now));
    cr_assert(policy.Current() == kStore);
    now += kStoreReaderTimeout + 1ms;
    cr_assert(policy.Tick(now));
  }
}

Test(sourceselector, InASmallFleetEachRouterReadsTheStore)
{
  SourceContext view;
  view.self = { "10.0.0.9", 1 };
  view.sinceStart = kSourceSettleTime;
  view.seeds = { kHubA.address };
  ExchangePlan plan;
  plan.reportTargets = { kHubA.address, kHubB.address };
  const auto options = MakeSourceOptions(view, plan);
  cr_assert(options.order.size() == 3 && options.order[0] == kStore);
}

//! One router of a small fleet reaches the store again before the others, which
//! had switched to each other. They stayed there for four seconds.
Test(sourceselector, InASmallFleetTheFreshestReaderIsASourceToo)
{
  SourceContext view;
  view.self = { "10.0.0.9", 1 };
  view.sinceStart = kSourceSettleTime;
  view.freshestReader = kHubB.address;
  ExchangePlan plan;
  plan.reportTargets = { kHubA.address };
  const auto options = MakeSourceOptions(view, plan);
  cr_assert(options.order[0] == kStore);
  cr_assert(options.fresherIndex &&
            options.order[*options.fresherIndex] == kHubB);
}

//! Hundreds of routers without any fault. With a store reader in each group,
//! and all starting routers reading the store, 1,851 calls were made in 50
//! seconds.
Test(sourceselector, AFewReadersOfDifferentZonesServeALargeFleet)
{
  SimulatedFleet fleet;
  fleet.Run(20000ms);
  cr_assert(
    fleet.callers.size() == kStoreReaders, "%zu callers", fleet.callers.size());
  cr_assert(fleet.calls <= 21 * static_cast<int>(kStoreReaders));
  cr_assert(fleet.OldestProof() < kTakeoverProofAge);
  std::set<std::uint32_t> zones;
  for (const auto& router : fleet.routers) {
    if (router.plan.storeReadRank < kStoreReaders) {
      zones.insert(router.member.zone);
    }
  }
  cr_assert(zones.size() == kStoreReaders);
}

//! The store refuses its readers and half of the other routers. No router may
//! be without proof for as long as keys may be used without one.
Test(sourceselector, OthersTakeOverFromReadersThatAreCutOff)
{
  SimulatedFleet fleet;
  fleet.Run(5000ms);
  fleet.storeAnswers = [](const SimulatedRouter& aRouter) {
    return aRouter.plan.storeReadRank >= kStoreReaders &&
           aRouter.member.hash % 2 == 0;
  };
  for (int i = 0; i < 150; ++i) {
    fleet.Run(100ms);
    cr_assert(fleet.OldestProof() < kRevocationBound - kRevocationMargin,
              "oldest proof is %lld ms old",
              static_cast<long long>(fleet.OldestProof().count()));
  }
}

//! The store is unavailable for ten seconds. All routers of a large fleet, when
//! they turned to it, made 5,310 calls.
Test(sourceselector, AnOutageDoesNotBringAllRoutersToTheStore)
{
  SimulatedFleet fleet;
  fleet.Run(5000ms);
  fleet.calls = 0;
  fleet.callers.clear();
  fleet.storeAnswers = [](const SimulatedRouter&) { return false; };
  fleet.Run(10000ms);
  cr_assert(fleet.callers.size() <= 60, "%zu callers", fleet.callers.size());
  cr_assert(fleet.calls <= 400, "%d calls", fleet.calls);
  fleet.storeAnswers = [](const SimulatedRouter&) { return true; };
  fleet.Run(2000ms);
  cr_assert(fleet.OldestProof() < kTakeoverProofAge);
}

//! Three hundred routers that start at once would all list the store, where
//! each page is a call, although their seed is about to have the list.
Test(sourceselector, ASourceWithAPendingAnswerIsWaitedFor)
{
  SourceOptions options;
  options.order = { kHubA, kStore };
  options.firstAnswerTimeout = kDefaultSeedWait;
  SourceSelector policy;
  policy.SetOptions(options, 0ms);
  policy.Pending(20ms);
  auto now = 20ms;
  for (; now < 600ms; now += 200ms) {
    policy.Pending(now);
    policy.Tick(now);
    cr_assert(policy.Current() == kHubA);
  }
  policy.Tick(now + kRouterTimeout);
  cr_assert(policy.Current() == kStore);
}
