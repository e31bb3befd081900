#include "fleet/fleetconstants.h"
#include "fleet/versionhistory.h"

#include <criterion/criterion.h>

//! Tests of when a service is certain to have had one software version.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr Duration kWindow = 20000ms;

UpstreamEntryPtr
Entry(const std::string& aVersion, const std::string& aService = "engine")
{
  UpstreamEntry entry;
  entry.id = "i-" + aVersion;
  entry.service = aService;
  entry.softwareVersion = aVersion;
  return std::make_shared<const UpstreamEntry>(entry);
}

//! A history that is confirmed each second.
struct HistoryFixture
{
  HistoryFixture() { history.Apply({ { nullptr, Entry("v1") } }, now); }

  void ProveFor(Duration aTime)
  {
    for (const auto until = now + aTime; now < until; now += 1000ms) {
      history.RecordProof(now);
    }
  }
  bool IsCertain() const
  {
    return history.OnlyVersion("engine", kWindow, now).has_value();
  }

  VersionHistory history;
  TimePoint now = 100000ms;
};

}

Test(versionhistory, OneVersionIsCertainAfterTheWindow)
{
  HistoryFixture fixture;
  fixture.ProveFor(kWindow - 1000ms);
  cr_assert(!fixture.IsCertain());
  fixture.ProveFor(2000ms);
  cr_assert(fixture.history.OnlyVersion("engine", kWindow, fixture.now) ==
            VersionIdOf(*Entry("v1")));
  cr_assert(!fixture.history.OnlyVersion("plain", kWindow, fixture.now));
}

Test(versionhistory, ASecondVersionCountsUntilTheWindowAfterItIsGone)
{
  HistoryFixture fixture;
  fixture.ProveFor(kWindow + 5000ms);
  fixture.history.Apply({ { nullptr, Entry("v2") } }, fixture.now);
  cr_assert(!fixture.IsCertain());
  fixture.ProveFor(kWindow + 5000ms);
  cr_assert(!fixture.IsCertain());
  fixture.history.Apply({ { Entry("v2"), nullptr } }, fixture.now);
  fixture.ProveFor(kWindow - 1000ms);
  cr_assert(!fixture.IsCertain());
  fixture.ProveFor(2000ms);
  cr_assert(fixture.IsCertain());
}

//! All upstreams of v1 are replaced by one of v2 in one change.
Test(versionhistory, AReplacedVersionCountsUntilTheWindowIsOver)
{
  HistoryFixture fixture;
  fixture.ProveFor(kWindow + 5000ms);
  fixture.history.Apply({ { Entry("v1"), nullptr } }, fixture.now);
  cr_assert(fixture.IsCertain());
  fixture.history.Apply({ { nullptr, Entry("v2") } }, fixture.now);
  fixture.ProveFor(kWindow - 1000ms);
  cr_assert(!fixture.IsCertain());
}

Test(versionhistory, NothingIsCertainAfterALossOfTheStore)
{
  HistoryFixture fixture;
  fixture.ProveFor(kWindow + 5000ms);
  fixture.now += 3000ms;
  cr_assert(!fixture.IsCertain());
  fixture.ProveFor(kWindow - 1000ms);
  cr_assert(!fixture.IsCertain());
  fixture.ProveFor(2000ms);
  cr_assert(fixture.IsCertain());
}

Test(versionhistory, AnEntryWithoutAVersionIsNoCertainVersion)
{
  HistoryFixture fixture;
  fixture.history.Apply({ { Entry("v1"), Entry("") } }, fixture.now);
  fixture.ProveFor(kWindow + 5000ms);
  cr_assert(!fixture.IsCertain());
}

//! A version counts as new only beside another one, until all routers know it.
Test(versionhistory, AVersionIsNewUntilAllRoutersKnowIt)
{
  HistoryFixture fixture;
  const auto isNew = [&](const char* aVersion) {
    return fixture.history.NewFor(
             "engine", VersionIdOf(*Entry(aVersion)), fixture.now) > Duration{};
  };
  cr_assert(!isNew("v1"));
  fixture.ProveFor(10000ms);
  fixture.history.Apply({ { nullptr, Entry("v2") } }, fixture.now);
  cr_assert(isNew("v2") && !isNew("v1"));
  fixture.now += kMaxListProofGap - 1ms;
  fixture.history.Apply({ { Entry("v2"), Entry("v2") } }, fixture.now);
  cr_assert(isNew("v2"));
  fixture.now += 1ms;
  cr_assert(!isNew("v2"));
}

//! The only other version is gone in the same change.
Test(versionhistory, AVersionThatReplacesAllOthersIsNew)
{
  HistoryFixture fixture;
  fixture.ProveFor(10000ms);
  fixture.history.Apply({ { Entry("v1"), nullptr }, { nullptr, Entry("v2") } },
                        fixture.now);
  const auto version = VersionIdOf(*Entry("v2"));
  cr_assert(fixture.history.NewFor("engine", version, fixture.now) ==
            kMaxListProofGap);
  fixture.now += kMaxListProofGap;
  cr_assert(fixture.history.NewFor("engine", version, fixture.now) ==
            Duration{});
}

//! All entries expire while the store is down, and come back.
Test(versionhistory, VersionsThatComeBackAreNotNew)
{
  HistoryFixture fixture;
  fixture.ProveFor(10000ms);
  fixture.history.Apply({ { nullptr, Entry("v2") } }, fixture.now);
  fixture.now += 10000ms;
  fixture.history.Apply({ { Entry("v1"), nullptr }, { Entry("v2"), nullptr } },
                        fixture.now);
  fixture.now += 10000ms;
  fixture.history.Apply({ { nullptr, Entry("v2") }, { nullptr, Entry("v1") } },
                        fixture.now);
  for (const auto* version : { "v1", "v2" }) {
    cr_assert(fixture.history.NewFor("engine",
                                     VersionIdOf(*Entry(version)),
                                     fixture.now) == Duration{});
  }
}
