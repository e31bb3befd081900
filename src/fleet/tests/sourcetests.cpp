#include "fleet/exchangeplan.h"
#include "fleet/fleetconstants.h"
#include "fleet/sourceoptions.h"
#include "fleet/sourcepolicy.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

const NewsSource kStore{};
const NewsSource kHubA{ SourceKind::Router, { "10.0.0.1", 1 } };
const NewsSource kHubB{ SourceKind::Router, { "10.0.0.2", 1 } };

constexpr base::Duration kStep = 20ms;
constexpr base::Duration kRevocation = 5000ms;
constexpr base::Duration kWatch = 1000ms;
constexpr base::Duration kNews = 300ms;

//! A router that knows the fleet, and where it learns of the store.
struct Learner
{
  FleetMember member;
  ExchangePlan plan;
  SourcePolicy policy;
  TimePoint provenAt{};
  TimePoint nextCallAt{};
  TimePoint toldAt{};
};

//! A fleet whose routers know each other, before a store that serves some of
//! them. Calls to the store are counted.
class Fleet295
{
public:
  explicit Fleet295(int aRouters = 295)
  {
    for (int i = 0; i < aRouters; ++i) {
      Learner learner;
      const auto low = std::to_string(1 + i % 200);
      learner.member.address = { "10." + std::to_string(i / 200) + ".0." + low,
                                 7400 };
      learner.member.zone = 1 + static_cast<std::uint32_t>(i % 6);
      learner.member.hash = base::HashName(learner.member.address.Text());
      learners.push_back(learner);
    }
    for (auto& learner : learners) {
      std::vector<FleetMember> others;
      for (const auto& other : learners) {
        if (!(other.member.address == learner.member.address)) {
          others.push_back(other.member);
        }
      }
      learner.plan = MakeExchangePlan(learner.member, others);
      learner.provenAt = now;
      m_byAddress[learner.member.address.Text()] = &learner;
    }
  }

  void Run(base::Duration aFor)
  {
    for (const auto end = now + aFor; now < end; now += kStep) {
      for (auto& learner : learners) {
        Step(learner);
      }
      TellReaders();
    }
  }

  base::Duration OldestProof() const
  {
    base::Duration oldest{};
    for (const auto& learner : learners) {
      oldest = std::max(oldest, now - learner.provenAt);
    }
    return oldest;
  }

  std::vector<Learner> learners;
  TimePoint now{ 100000 };
  std::function<bool(const Learner&)> serves = [](const Learner&) {
    return true;
  };
  int calls = 0;
  std::set<std::string> callers;

private:
  //! Reports bring the freshest reader to all within kNews.
  void TellReaders()
  {
    const Learner* best = nullptr;
    for (const auto& learner : learners) {
      const bool reads = learner.policy.Current().kind == SourceKind::Store;
      if (reads && (best == nullptr || learner.provenAt > best->provenAt)) {
        best = &learner;
      }
    }
    if (best != nullptr && now - best->provenAt >= kNews) {
      m_told.Learn(best->member.address, best->provenAt);
    }
  }

  void Step(Learner& aLearner)
  {
    SourceView view;
    view.self = aLearner.member.address;
    view.hash = aLearner.member.hash;
    view.sinceStart = 60000ms;
    view.proofAge = now - aLearner.provenAt;
    view.knownReader = m_told.Better(aLearner.provenAt, now);
    aLearner.policy.SetOptions(MakeSourceOptions(view, aLearner.plan), now);
    if (aLearner.policy.Tick(now)) {
      aLearner.nextCallAt = now;
      aLearner.toldAt = {};
    }
    const auto& source = aLearner.policy.Current();
    if (source.kind == SourceKind::Store) {
      Call(aLearner);
    } else {
      Follow(aLearner, *m_byAddress.at(source.address.Text()));
    }
  }

  //! A watch proves what held when it was asked; a failed call is repeated
  //! after a pause.
  void Call(Learner& aLearner)
  {
    if (now < aLearner.nextCallAt) {
      return;
    }
    calls++;
    callers.insert(aLearner.member.address.Text());
    if (serves(aLearner)) {
      aLearner.provenAt = now;
      aLearner.policy.Answered(0ms, now);
    }
    aLearner.nextCallAt = now + kWatch;
  }

  void Follow(Learner& aLearner, const Learner& aSource)
  {
    const bool newer = aSource.provenAt >= aLearner.provenAt + kProofStep;
    if (!newer && now - aLearner.toldAt < kNewsWait) {
      return;
    }
    aLearner.toldAt = now;
    aLearner.provenAt = std::max(aLearner.provenAt, aSource.provenAt);
    aLearner.policy.Answered(now - aSource.provenAt, now);
  }

  std::map<std::string, Learner*> m_byAddress;
  KnownReader m_told;
};

}

Test(sources, ASilentSourceIsPassedOverAndTriedAgainLater)
{
  SourcePolicy policy;
  policy.SetOptions({ { kHubA, kHubB, kStore }, false, {}, {} }, 0ms);
  cr_assert(policy.Current() == kHubA);
  policy.Answered(100ms, 500ms);
  cr_assert(!policy.Tick(1000ms));
  cr_assert(policy.Tick(500ms + kRouterSilent + 1ms));
  cr_assert(policy.Current() == kHubB);
  const auto at = 500ms + kRouterSilent + 1ms;
  for (auto now = at; now < at + kSourceRetry; now += 100ms) {
    policy.Answered(100ms, now);
    cr_assert(!policy.Tick(now));
  }
  policy.Answered(100ms, at + kSourceRetry + 1ms);
  cr_assert(policy.Tick(at + kSourceRetry + 1ms));
  cr_assert(policy.Current() == kHubA);
}

Test(sources, ASourceThatIsCutOffItselfIsPassedOver)
{
  SourcePolicy policy;
  policy.SetOptions({ { kHubA, kHubB }, false, {}, {} }, 0ms);
  policy.Answered(kSourceStale + 1ms, 100ms);
  cr_assert(!policy.Tick(200ms)); // not at once: all would go in circles
  policy.Answered(kSourceStale + 1ms, kSourceDwell);
  cr_assert(policy.Tick(kSourceDwell + 1ms));
  cr_assert(policy.Current() == kHubB);
}

Test(sources, AStoreThatIsTheOnlySourceIsKept)
{
  SourcePolicy policy;
  policy.SetOptions({ { kStore }, false, {}, {} }, 0ms);
  cr_assert(!policy.Tick(100000ms));
  cr_assert(policy.Current() == kStore);
}

Test(sources, ANewOrderIsFollowedUnlessTheFirstSourceHadFailed)
{
  SourcePolicy policy;
  policy.SetOptions({ { kHubA, kStore }, false, {}, {} }, 0ms);
  cr_assert(policy.Current() == kHubA);
  policy.SetOptions({ { kHubB, kHubA, kStore }, false, {}, {} }, 100ms);
  cr_assert(policy.Current() == kHubB);
  cr_assert(policy.Tick(100ms + kRouterSilent + 1ms));
  cr_assert(policy.Current() == kHubA);
  policy.SetOptions({ { kHubB, kStore, kHubA }, false, {}, {} }, 2000ms);
  cr_assert(policy.Current() == kHubA);
  policy.SetOptions({ { kHubB, kStore }, false, {}, {} }, 2100ms);
  cr_assert(policy.Current() == kHubB);
}

Test(sources, WhoHasTakenOverReadsTheStoreForAWhileAndGoesBackToItIfNeeded)
{
  SourcePolicy policy;
  policy.SetOptions({ { kHubA }, false, {}, {} }, 0ms);
  policy.SetOptions({ { kHubA }, true, {}, {} }, kSourceDwell + 1ms);
  cr_assert(policy.Tick(kSourceDwell + 1ms));
  cr_assert(policy.Current() == kStore && !policy.IsPreferred());
  auto now = kSourceDwell + 1ms;
  policy.SetOptions({ { kHubA }, false, {}, {} }, now);
  for (const auto end = now + kSourceRetry; now < end; now += 100ms) {
    policy.Answered(0ms, now);
    cr_assert(!policy.Tick(now));
  }
  now += 100ms;
  cr_assert(policy.Tick(now));
  cr_assert(policy.Current() == kHubA);
  policy.Answered(kSourceStale + 1ms, now + 100ms);
  cr_assert(policy.Tick(now + 100ms));
  cr_assert(policy.Current() == kStore);
}

Test(sources, IfAllAreCutOffEachIsKeptLongerThanTheOneBefore)
{
  SourcePolicy policy;
  policy.SetOptions({ { kHubA, kHubB }, false, {}, {} }, 0ms);
  int changes = 0;
  for (TimePoint now{}; now < 20000ms; now += 100ms) {
    policy.Answered(kSourceStale + 1ms, now);
    changes += policy.Tick(now) ? 1 : 0;
  }
  cr_assert(changes <= 9, "%d", changes);
}

Test(sources, WhoseSourceIsCutOffGoesToTheKnownReaderAtOnce)
{
  SourcePolicy policy;
  policy.SetOptions({ { kHubA, kHubB }, false, {}, {} }, 0ms);
  policy.Answered(kSourceStale, 100ms);
  policy.SetOptions({ { kHubA, kHubB }, false, 1, {} }, 101ms);
  cr_assert(policy.Tick(101ms));
  cr_assert(policy.Current() == kHubB);
}

//! The load: the store is silent for all routers of a small fleet for two
//! seconds, and a configuration is written right after. All left it together
//! and came back to it three seconds later, too late for the configuration.
Test(sources, AStoreThatIsSilentForAllIsKept)
{
  SourcePolicy policy;
  const std::vector<NewsSource> order{ kStore, kHubA, kHubB };
  policy.SetOptions({ order, false, {}, {} }, 0ms);
  cr_assert(!policy.Tick(kStoreSilentForAll));
  cr_assert(policy.Current() == kStore);
  policy.SetOptions({ order, false, 2, {} }, kStoreSilentForAll);
  cr_assert(policy.Tick(kStoreSilentForAll));
  cr_assert(policy.Current() == kHubB);
}

//! Also after a longer silence: it is tried again after each other source.
Test(sources, WhoReadsTheStoreByRoleReturnsToItFromACutOffSource)
{
  SourcePolicy policy;
  policy.SetOptions({ { kStore, kHubA, kHubB }, false, {}, {} }, 0ms);
  auto now = kStoreSilentForAll + 1ms;
  cr_assert(policy.Tick(now));
  cr_assert(policy.Current() == kHubA);
  for (int i = 0; i < 4; ++i) { // however often that was in vain
    now += kSourceDwell + 1ms;
    policy.Answered(kSourceStale + 1ms, now);
    cr_assert(policy.Tick(now));
    cr_assert(policy.Current() == kStore);
    now += kStoreSilentForAll + 1ms;
    cr_assert(policy.Tick(now));
  }
}

Test(sources, WhoStartsAsksASeedAndTheStoreSoonAfter)
{
  SourceView view;
  view.self = { "10.0.0.9", 1 };
  view.seeds = { kHubA.address, kHubB.address };
  view.seedWait = kStartPatience;
  SourcePolicy policy;
  policy.SetOptions(MakeSourceOptions(view, {}), 0ms);
  cr_assert(policy.Current() == kHubA);
  cr_assert(policy.Tick(kStartPatience + 1ms));
  cr_assert(policy.Current() == kStore);
}

//! Once it has news and knows of a large fleet, it takes its place there.
Test(sources, WhoStartedAndKnowsTheFleetFollowsItsHub)
{
  SourceView view;
  view.self = { "10.0.0.9", 1 };
  view.seeds = { kHubA.address };
  view.sinceStart = 500ms;
  view.proofAge = 100ms;
  ExchangePlan plan;
  plan.isHub = false;
  plan.groupHubs = { kHubB.address };
  plan.readRank = kStoreReaders;
  cr_assert(MakeSourceOptions(view, plan).order.front() == kHubB);
  view.proofAge = view.sinceStart;
  cr_assert(MakeSourceOptions(view, plan).order.front() == kHubA);
}

Test(sources, ASeedThatStartsReadsTheStore)
{
  SourceView view;
  view.seeds = { kHubB.address };
  view.isSeed = true;
  SourcePolicy policy;
  policy.SetOptions(MakeSourceOptions(view, {}), 0ms);
  cr_assert(policy.Current() == kStore);
}

Test(sources, InASmallFleetEachRouterReadsTheStore)
{
  SourceView view;
  view.self = { "10.0.0.9", 1 };
  view.sinceStart = kSourceSettle;
  view.seeds = { kHubA.address };
  ExchangePlan plan;
  plan.tell = { kHubA.address, kHubB.address };
  const auto options = MakeSourceOptions(view, plan);
  cr_assert(options.order.size() == 3 && options.order[0] == kStore);
}

//! The load: one router of a small fleet has its store back before the others,
//! which had turned to each other. They stayed there for four seconds.
Test(sources, InASmallFleetTheKnownReaderIsASourceToo)
{
  SourceView view;
  view.self = { "10.0.0.9", 1 };
  view.sinceStart = kSourceSettle;
  view.knownReader = kHubB.address;
  ExchangePlan plan;
  plan.tell = { kHubA.address };
  const auto options = MakeSourceOptions(view, plan);
  cr_assert(options.order[0] == kStore);
  cr_assert(options.known && options.order[*options.known] == kHubB);
}

//! The load: hundreds of routers on a calm day. With a reader in each group
//! and all that start reading, 1,851 calls were made in 50 seconds.
Test(sources, AFewReadersOfDifferentZonesServeALargeFleet)
{
  Fleet295 fleet;
  fleet.Run(20000ms);
  cr_assert(fleet.callers.size() == kStoreReaders, "%zu", fleet.callers.size());
  cr_assert(fleet.calls <= 21 * static_cast<int>(kStoreReaders));
  cr_assert(fleet.OldestProof() < kTakeoverAfter);
  std::set<std::uint32_t> zones;
  for (const auto& learner : fleet.learners) {
    if (learner.plan.readRank < kStoreReaders) {
      zones.insert(learner.member.zone);
    }
  }
  cr_assert(zones.size() == kStoreReaders);
}

//! The load: the store turns its readers and half of the others away. None is
//! without proof for as long as keys may be used unproven.
Test(sources, OthersTakeOverFromReadersThatAreCutOff)
{
  Fleet295 fleet;
  fleet.Run(5000ms);
  fleet.serves = [](const Learner& aLearner) {
    return aLearner.plan.readRank >= kStoreReaders &&
           aLearner.member.hash % 2 == 0;
  };
  for (int i = 0; i < 150; ++i) {
    fleet.Run(100ms);
    cr_assert(fleet.OldestProof() < kRevocation - kRevocationMargin,
              "%lld ms",
              static_cast<long long>(fleet.OldestProof().count()));
  }
}

//! The load: the store is away for ten seconds. All routers of a large fleet
//! turning to it made 5,310 calls on such a day.
Test(sources, AnOutageBringsNotAllRoutersToTheStore)
{
  Fleet295 fleet;
  fleet.Run(5000ms);
  fleet.calls = 0;
  fleet.callers.clear();
  fleet.serves = [](const Learner&) { return false; };
  fleet.Run(10000ms);
  cr_assert(fleet.callers.size() <= 60, "%zu", fleet.callers.size());
  cr_assert(fleet.calls <= 400, "%d", fleet.calls);
  fleet.serves = [](const Learner&) { return true; };
  fleet.Run(2000ms);
  cr_assert(fleet.OldestProof() < kTakeoverAfter);
}

//! Three hundred routers that start at once would all list the store, where
//! each page counts, while their seed is about to know it.
Test(sources, ASourceWhoseNewsAreOnTheWayIsWaitedFor)
{
  SourceOptions options;
  options.order = { kHubA, kStore };
  options.patience = kStartPatience;
  SourcePolicy policy;
  policy.SetOptions(options, 0ms);
  policy.Pending(20ms);
  auto now = 20ms;
  for (; now < 600ms; now += 200ms) {
    policy.Pending(now);
    policy.Tick(now);
    cr_assert(policy.Current() == kHubA);
  }
  policy.Tick(now + kRouterSilent);
  cr_assert(policy.Current() == kStore);
}

Test(sources, ASourceThatSaysNothingIsLeftSoonAtTheStart)
{
  SourceOptions options;
  options.order = { kHubA, kStore };
  options.patience = kStartPatience;
  SourcePolicy policy;
  policy.SetOptions(options, 0ms);
  policy.Tick(kStartPatience + 20ms);
  cr_assert(policy.Current() == kStore);
}
