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

StoreUpdateRequest
MakeRequestAfter(const StoreUpdate& aUpdate, std::uint64_t aConfigVersion)
{
  return { aUpdate.incarnation, aUpdate.sequence, aConfigVersion };
}

}

Test(storechangelog, ANewFollowerGetsEverythingAndAKnownOneTheChanges)
{
  StoreChangeLog log(7);
  log.SetConfig(3, "three");
  log.SetUpstreams(Entries({ "a", "b" }));
  const auto first = log.Answer({}, 40ms);
  cr_assert(first.isFullList && first.upstreams.size() == 2);
  cr_assert(first.config == "three");
  cr_assert(first.proofAge == 40ms);
  cr_assert(!log.HasUpdateFor(MakeRequestAfter(first, 3)));
  log.SetUpstreams(Entries({ "b", "c" }));
  cr_assert(log.HasUpdateFor(MakeRequestAfter(first, 3)));
  const auto second = log.Answer(MakeRequestAfter(first, 3), 0ms);
  cr_assert(!second.isFullList && second.config.empty());
  cr_assert(second.upstreams.size() == 1 && second.upstreams[0].id == "c");
  cr_assert(second.removed == std::vector<std::string>{ "a" });
}

//! A router that has changed its source still has the list of the former one.
Test(storechangelog, AFollowerWithTheSameListGetsNoUpstreams)
{
  StoreChangeLog one(7);
  StoreChangeLog other(8);
  one.SetUpstreams(Entries({ "a", "b" }));
  other.SetUpstreams(Entries({ "b" }));
  other.SetUpstreams(Entries({ "a", "b" }));
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
  other.SetUpstreams(entries);
  cr_assert(other.NeedsFullList(request));
  cr_assert(other.Answer(next, 0ms).upstreams.size() == 1);
}

Test(storechangelog, ALogWithoutAListHasNoDigest)
{
  StoreChangeLog empty(7);
  StoreChangeLog listed(8);
  listed.SetUpstreams({});
  cr_assert(empty.Digest() == 0);
  cr_assert(listed.Digest() != 0);
  cr_assert(listed.NeedsFullList({ 0, 0, 0, empty.Digest() }));
}

Test(storechangelog, AChangedEntryIsSentAgain)
{
  StoreChangeLog log(7);
  auto entries = Entries({ "a" });
  log.SetUpstreams(entries);
  const auto first = log.Answer({}, 0ms);
  log.SetUpstreams(entries);
  cr_assert(!log.HasUpdateFor(MakeRequestAfter(first, 0)));
  entries["a"].draining = true;
  log.SetUpstreams(entries);
  const auto second = log.Answer(MakeRequestAfter(first, 0), 0ms);
  cr_assert(second.upstreams.at(0).draining);
}

Test(storechangelog, AnOlderConfigurationIsIgnored)
{
  StoreChangeLog log(7);
  log.SetConfig(3, "three");
  log.SetConfig(2, "two");
  cr_assert(log.Answer({}, 0ms).config == "three");
}

//! After any changes and at whatever times it asks, a follower has the same
//! upstreams as the router that it follows.
Test(storechangelog, AFollowerGetsTheSameUpstreams)
{
  rc::check([] {
    StoreChangeLog log(7);
    std::map<std::string, UpstreamEntry> followed;
    StoreUpdateRequest request;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const auto ids = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("a", "b", "c", "d"));
      log.SetUpstreams(Entries(ids));
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
}

Test(storechangelog,
     AFollowerThatIsTooFarBehindOrOfAnEarlierIncarnationGetsEverything)
{
  StoreChangeLog log(7);
  log.SetUpstreams(Entries({ "a" }));
  const auto first = log.Answer({}, 0ms);
  cr_assert(log.Answer({ 6, first.sequence, 0 }, 0ms).isFullList);
  cr_assert(log.Answer({ 7, first.sequence + 9, 0 }, 0ms).isFullList);
  for (int i = 0; i < 2000; ++i) {
    log.SetUpstreams(Entries({ i % 2 == 0 ? "b" : "c" }));
  }
  cr_assert(log.Answer(MakeRequestAfter(first, 0), 0ms).isFullList);
}
