#include "fleet/upstreamlist.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;
using namespace std::chrono_literals;

namespace {

UpstreamEntry
Entry(const std::string& aId, bool aDraining = false)
{
  UpstreamEntry entry;
  entry.id = aId;
  entry.service = "pool";
  entry.address = { "10.0.0.1", 80 };
  entry.slots = 4;
  entry.draining = aDraining;
  return entry;
}

UpstreamEntry
StartedAt(const std::string& aId, std::uint64_t aStartedAt)
{
  auto entry = Entry(aId);
  entry.startedAt = aStartedAt;
  return entry;
}

UpstreamEntry
Unusable(const std::string& aId)
{
  UpstreamEntry entry;
  entry.id = aId;
  entry.usable = false;
  return entry;
}

}

Test(upstreamlist, AnEntryRemovedWhileTheStoreIsReachableIsGoneAtOnce)
{
  UpstreamList list;
  list.Replace({ Entry("a"), Entry("b") }, 0ms);
  const auto notices = list.Remove("a", 10ms);
  cr_assert(notices.at(0).change == EntryChange::Gone);
  cr_assert(!list.MayGetWork("a"));
  cr_assert(list.MayGetWork("b"));
}

Test(upstreamlist, ADrainingUpstreamGetsNoWorkEvenAfterAStoreOutage)
{
  UpstreamList list;
  list.Replace({ Entry("a"), Entry("b") }, 0ms);
  list.Put(Entry("a", true));
  cr_assert(!list.MayGetWork("a"));
  list.StoreLost(100ms);
  cr_assert(!list.MayGetWork("a"));
  list.StoreReached(9000ms);
  const auto notices = list.Replace({ Entry("b") }, 9001ms);
  cr_assert(notices.at(0).change == EntryChange::Gone);
}

Test(upstreamlist, AnEntryThatExpiredInAStoreOutageMayComeBack)
{
  UpstreamList list;
  list.Replace({ Entry("a"), Entry("b"), Entry("c") }, 0ms);
  list.StoreLost(100ms);
  list.StoreReached(6000ms);
  list.Replace({ Entry("c") }, 6001ms);
  cr_assert(list.MayGetWork("a"));
  list.Put(Entry("a"));
  const auto notices = list.Tick(6000ms + 2400ms);
  cr_assert(notices.size() == 1);
  cr_assert(notices[0].id == "b");
  cr_assert(list.MayGetWork("a"));
  cr_assert(!list.MayGetWork("b"));
}

//! An upstream that left 0.8 s after the store's return was kept as if its
//! entry had expired in the outage, and got a request 2.2 s later.
Test(upstreamlist, AnEntryRemovedAfterAStoreOutageIsGoneAtOnce)
{
  UpstreamList list;
  list.Replace({ Entry("a") }, 0ms);
  list.StoreLost(100ms);
  list.StoreReached(9300ms);
  list.Replace({ Entry("a") }, 9300ms);
  const auto notices = list.Remove("a", 10100ms);
  cr_assert(notices.at(0).change == EntryChange::Gone);
  cr_assert(!list.MayGetWork("a"));
}

Test(upstreamlist, ProofFromBeforeAStoreOutageDoesNotEndIt)
{
  UpstreamList list;
  list.Replace({ Entry("a") }, 0ms);
  list.StoreLost(1000ms);
  list.StoreReached(900ms); // another router's proof, from before the outage
  list.StoreReached(6000ms);
  list.Replace({}, 6001ms);
  cr_assert(list.MayGetWork("a"));
}

Test(upstreamlist, NoEntryExpiresInAShortStoreOutage)
{
  UpstreamList list;
  list.Configure(2400ms);
  list.Replace({ Entry("a") }, 0ms);
  list.StoreLost(100ms);
  list.StoreReached(900ms);
  list.Replace({}, 901ms);
  cr_assert(!list.MayGetWork("a"));
}

// ---- unusable entries and restarts

Test(upstreamlist, AnUnusableEntryReplacesAUsableOne)
{
  UpstreamList list;
  list.Replace({ Entry("a"), Entry("b") }, 0ms);
  cr_assert(list.Put(Unusable("a")).at(0).change == EntryChange::Unusable);
  cr_assert(list.Put(Unusable("a")).empty());
  cr_assert(!list.MayGetWork("a"));
  cr_assert(list.MayGetWork("b"));
  cr_assert(list.Put(Entry("a")).at(0).change == EntryChange::Listed);
  cr_assert(list.MayGetWork("a"));
}

Test(upstreamlist, AnUnusableEntryIsNotKeptAsExpired)
{
  UpstreamList list;
  list.Replace({ Entry("a") }, 0ms);
  list.Put(Unusable("a"));
  list.StoreLost(100ms);
  list.StoreReached(9000ms);
  const auto notices = list.Replace({}, 9001ms);
  cr_assert(notices.at(0).change == EntryChange::Gone);
}

Test(upstreamlist, ALaterStartTimeIsARestartAndAnEarlierOneIsIgnored)
{
  UpstreamList list;
  list.Replace({ StartedAt("a", 1000) }, 0ms);
  const auto notices = list.Put(StartedAt("a", 2000));
  cr_assert(notices.at(0).change == EntryChange::Restarted);
  cr_assert(notices.at(0).upstream == UpstreamIdOf("a", 1000));
  auto stale = StartedAt("a", 1000);
  stale.draining = true;
  cr_assert(list.Put(stale).at(0).change == EntryChange::Outdated);
  cr_assert(list.MayGetWork("a"));
  cr_assert(list.Entries().at("a")->startedAt == 2000);
}

Test(upstreamlist, AnEntryMustKeepItsStartTime)
{
  UpstreamList list;
  list.Replace({ StartedAt("a", 1000), Entry("b") }, 0ms);
  cr_assert(list.Put(Entry("a")).at(0).change == EntryChange::Unusable);
  cr_assert(!list.MayGetWork("a"));
  cr_assert(list.Put(Entry("b")).empty());
  cr_assert(list.MayGetWork("b"));
  list.Put(StartedAt("a", 1000));
  cr_assert(list.MayGetWork("a"));
}

Test(upstreamlist, ARestartWhileTheEntryWasMissingIsNoExpiry)
{
  UpstreamList list;
  list.Replace({ StartedAt("a", 1000) }, 0ms);
  list.StoreLost(100ms);
  list.StoreReached(6000ms);
  list.Replace({}, 6001ms);
  cr_assert(list.MayGetWork("a"));
  cr_assert(list.Put(StartedAt("a", 5000)).at(0).change ==
            EntryChange::Restarted);
  cr_assert(list.Tick(9000ms).empty());
  cr_assert(list.MayGetWork("a"));
}
