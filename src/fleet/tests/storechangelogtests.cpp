#include "fleet/fleetconstants.h"
#include "fleet/storechangelog.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

std::map<std::string, UpstreamEntry>
Entries(const std::vector<std::string>& aIds)
{
  std::map<std::string, UpstreamEntry> entries;
  for (const auto& id : aIds) {
    entries[id].id = id;
  }
  return entries;
}

//! A router's upstream list and the log of its changes.
struct LoggedList
{
  explicit LoggedList(std::uint64_t aIncarnation)
    : log(aIncarnation, list)
  {
  }

  //! Replaces the list and logs what differs.
  void Set(const std::map<std::string, UpstreamEntry>& aEntries)
  {
    std::vector<UpstreamEntry> entries;
    entries.reserve(aEntries.size());
    for (const auto& [id, entry] : aEntries) {
      entries.push_back(entry);
    }
    list.Replace(entries, 0ms);
    log.LogUpstreams(list.TakeUpdates());
  }

  UpstreamList list;
  StoreChangeLog log;
};

StoreUpdateRequest
MakeRequestAfter(const StoreUpdate& aUpdate, std::uint64_t aConfigVersion)
{
  return { aUpdate.incarnation, aUpdate.sequence, aConfigVersion };
}

}

Test(storechangelog, ANewFollowerGetsEverythingAndAKnownOneTheChanges)
{
  LoggedList logList(7);
  auto& log = logList.log;
  log.SetConfig(3, "three");
  logList.Set(Entries({ "a", "b" }));
  const auto first = log.Answer({}, 40ms);
  cr_assert(first.isFullList && first.upstreams.size() == 2);
  cr_assert(first.config == "three");
  cr_assert(first.proofAge == 40ms);
  cr_assert(!log.HasUpdateFor(MakeRequestAfter(first, 3)));
  logList.Set(Entries({ "b", "c" }));
  cr_assert(log.HasUpdateFor(MakeRequestAfter(first, 3)));
  const auto second = log.Answer(MakeRequestAfter(first, 3), 0ms);
  cr_assert(!second.isFullList && second.config.empty());
  cr_assert(second.upstreams.size() == 1 && second.upstreams[0].id == "c");
  cr_assert(second.removed == std::vector<std::string>{ "a" });
}

//! A router that has changed its source still has the list of the former one.
Test(storechangelog, AFollowerWithTheSameListGetsNoUpstreams)
{
  LoggedList oneList(7);
  auto& one = oneList.log;
  LoggedList otherList(8);
  auto& other = otherList.log;
  oneList.Set(Entries({ "a", "b" }));
  otherList.Set(Entries({ "b" }));
  otherList.Set(Entries({ "a", "b" }));
  const StoreUpdateRequest request{ 0, 0, 0, one.Digest() };
  cr_assert(one.Digest() != 0 && one.Digest() == other.Digest());
  cr_assert(!other.NeedsFullList(request));
  const auto update = other.Answer(request, 0ms);
  cr_assert(!update.isFullList && update.upstreams.empty() &&
            update.removed.empty());
  const auto next = MakeRequestAfter(update, 0);
  cr_assert(!other.HasUpdateFor(next));
  auto entries = Entries({ "a", "b" });
  entries["a"].draining = true;
  otherList.Set(entries);
  cr_assert(other.NeedsFullList(request));
  cr_assert(other.Answer(next, 0ms).upstreams.size() == 1);
}

Test(storechangelog, ALogWithoutAListHasNoDigest)
{
  LoggedList emptyList(7);
  auto& empty = emptyList.log;
  LoggedList listedList(8);
  auto& listed = listedList.log;
  listedList.Set({});
  cr_assert(empty.Digest() == 0);
  cr_assert(listed.Digest() != 0);
  cr_assert(listed.NeedsFullList({ 0, 0, 0, empty.Digest() }));
}

Test(storechangelog, AChangedEntryIsSentAgain)
{
  LoggedList logList(7);
  auto& log = logList.log;
  auto entries = Entries({ "a" });
  logList.Set(entries);
  const auto first = log.Answer({}, 0ms);
  logList.Set(entries);
  cr_assert(!log.HasUpdateFor(MakeRequestAfter(first, 0)));
  entries["a"].draining = true;
  logList.Set(entries);
  const auto second = log.Answer(MakeRequestAfter(first, 0), 0ms);
  cr_assert(second.upstreams.at(0).draining);
}

Test(storechangelog, AnOlderConfigurationIsIgnored)
{
  LoggedList logList(7);
  auto& log = logList.log;
  log.SetConfig(3, "three");
  log.SetConfig(2, "two");
  cr_assert(log.Answer({}, 0ms).config == "three");
}

//! After any changes and at whatever times it asks, a follower has the same
//! upstreams as the router that it follows.
Test(storechangelog, AFollowerGetsTheSameUpstreams)
{
  const bool held = rc::check([] {
    LoggedList logList(7);
    auto& log = logList.log;
    std::map<std::string, UpstreamEntry> followed;
    StoreUpdateRequest request;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const auto ids = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("a", "b", "c", "d"));
      logList.Set(Entries(ids));
      if (*rc::gen::inRange(0, 3) != 0 && i + 1 < steps) {
        continue;
      }
      const auto update = log.Answer(request, 0ms);
      if (update.isFullList) {
        followed.clear();
      }
      for (const auto& entry : update.upstreams) {
        followed[entry.id] = entry;
      }
      for (const auto& id : update.removed) {
        followed.erase(id);
      }
      request = MakeRequestAfter(update, 0);
      if (i + 1 == steps) {
        RC_ASSERT(followed == Entries(ids));
      }
    }
  });
  cr_assert(held);
}

Test(storechangelog,
     AFollowerThatIsTooFarBehindOrOfAnEarlierIncarnationGetsEverything)
{
  LoggedList logList(7);
  auto& log = logList.log;
  logList.Set(Entries({ "a" }));
  const auto first = log.Answer({}, 0ms);
  cr_assert(log.Answer({ 6, first.sequence, 0 }, 0ms).isFullList);
  cr_assert(log.Answer({ 7, first.sequence + 9, 0 }, 0ms).isFullList);
  for (int i = 0; i < 2000; ++i) {
    logList.Set(Entries({ i % 2 == 0 ? "b" : "c" }));
  }
  cr_assert(log.Answer(MakeRequestAfter(first, 0), 0ms).isFullList);
}

//! A third of a large fleet's upstreams is replaced at once. Followers must not
//! have to fetch the list of all others again.
Test(storechangelog, AReplacementOfManyUpstreamsIsSentAsChanges)
{
  constexpr int kListed = 6000;
  constexpr int kReplaced = 2000;
  LoggedList logList(7);
  auto& log = logList.log;
  std::vector<std::string> ids;
  ids.reserve(kListed);
  for (int i = 0; i < kListed; ++i) {
    ids.push_back("old" + std::to_string(i));
  }
  logList.Set(Entries(ids));
  const auto first = log.Answer({}, 0ms);
  for (int i = 0; i < kReplaced; ++i) {
    ids[static_cast<std::size_t>(i)] = "new" + std::to_string(i);
  }
  logList.Set(Entries(ids));
  const auto update = log.Answer(MakeRequestAfter(first, 0), 0ms);
  cr_assert(!update.isFullList);
  cr_assert(update.upstreams.size() == kReplaced);
  cr_assert(update.removed.size() == kReplaced);
}

//! Heartbeats that change nothing cost followers nothing.
Test(storechangelog, AnEntryThatIsWrittenAgainUnchangedIsNoChange)
{
  LoggedList logList(7);
  auto& log = logList.log;
  logList.Set(Entries({ "a", "b" }));
  const auto digest = log.Digest();
  const auto sequence = log.Sequence();
  auto entries = Entries({ "a", "b" });
  logList.list.Put(entries["a"]);
  entries["b"].draining = true;
  logList.list.Put(entries["b"]);
  entries["b"].draining = false;
  logList.list.Put(entries["b"]);
  log.LogUpstreams(logList.list.TakeUpdates());
  cr_assert(log.Sequence() == sequence);
  cr_assert(log.Digest() == digest);
}
