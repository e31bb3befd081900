#include "fleetfixture.h"

#include <criterion/criterion.h>

//! Placement of requests that go on with a stream of a known version.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

VersionId
Version(const std::string& aName)
{
  UpstreamEntry entry;
  entry.service = "engines";
  entry.softwareVersion = aName;
  return VersionIdOf(entry);
}

//! Two engines of v1 and two of v2, under the load of a workspace that asks for
//! many times their capacity.
struct FloodedFixture : FleetFixture
{
  FloodedFixture()
  {
    fleet.SetConfig(MakeConfig(2, 40000));
    ListVersions({ "v1", "v1", "v2", "v2" });
    for (int tick = 0; tick < 20; ++tick) {
      now += 100ms;
      fleet.Tick(now);
      for (std::uint64_t i = 0; i < 16; ++i) {
        Place(MakeRequest(i, "flood"));
      }
    }
  }

  PlaceResult Resume(VersionId aVersion, Duration aTimeLeft)
  {
    auto request = MakeRequest(3, "flood");
    request.streamVersion = aVersion;
    request.timeLeft = aTimeLeft;
    return Place(request);
  }
};

}

Test(resumedstream, IsPlacedAtItsVersionAlone)
{
  FleetFixture fixture;
  fixture.ListVersions({ "v1", "v2", "v1", "v2" });
  for (std::uint64_t prefix = 0; prefix < 20; ++prefix) {
    auto request = fixture.MakeRequest(prefix);
    request.streamVersion = Version("v2");
    const auto place = fixture.Place(request);
    cr_assert(place.softwareVersion == "v2");
  }
}

Test(resumedstream, FindsNoUpstreamIfItsVersionIsUnknownOrGone)
{
  FleetFixture fixture;
  fixture.ListVersions({ "v1", "v2", "" });
  for (const auto version : { VersionId::Unknown, Version("v3") }) {
    auto request = fixture.MakeRequest(1);
    request.streamVersion = version;
    const auto place = fixture.Place(request);
    cr_assert(place.outcome == PlaceOutcome::NoUpstream);
    cr_assert(place.suitability == Suitability::OtherVersion);
  }
}

//! An upstream of the same version name in another service does not count.
Test(resumedstream, FindsNoUpstreamInAnotherService)
{
  FleetFixture fixture;
  fixture.ListVersions({ "v1", "v1" });
  UpstreamEntry other;
  other.service = "plain";
  other.softwareVersion = "v1";
  auto request = fixture.MakeRequest(1);
  request.streamVersion = VersionIdOf(other);
  cr_assert(fixture.Place(request).outcome == PlaceOutcome::NoUpstream);
}

Test(resumedstream, IsNotRefusedForLoad)
{
  FloodedFixture fixture;
  const auto beginning = fixture.Place(fixture.MakeRequest(3, "flood"));
  cr_assert(beginning.outcome == PlaceOutcome::Refused);
  for (int i = 0; i < 12; ++i) {
    cr_assert(fixture.Resume(Version("v1"), 60000ms).outcome ==
              PlaceOutcome::Placed);
  }
}

Test(resumedstream, IsRefusedAtOnceIfItCannotBeInTime)
{
  FloodedFixture fixture;
  const auto place = fixture.Resume(Version("v1"), 20ms);
  cr_assert(place.outcome == PlaceOutcome::Refused);
  cr_assert(place.retryAfter > Duration{});
}

//! The version is that of the entry when the request was sent.
Test(resumedstream, HasNoKnownVersionIfTheEntryChangedMeanwhile)
{
  FleetFixture fixture;
  fixture.ListVersions({ "v1" });
  const auto first = fixture.Place(fixture.MakeRequest(1));
  cr_assert(fixture.fleet.VersionOf(first.attempt) == Version("v1"));
  fixture.ListVersions({ "v2" });
  cr_assert(fixture.fleet.VersionOf(first.attempt) == VersionId::Unknown);
}

//! The entry of an upstream that still serves may expire.
Test(resumedstream, KeepsItsVersionIfTheEntryIsGone)
{
  FleetFixture fixture;
  fixture.ListVersions({ "v1" });
  const auto first = fixture.Place(fixture.MakeRequest(1));
  fixture.fleet.Upstreams().Remove("u0", fixture.now);
  fixture.fleet.UpdateUpstreams(fixture.now);
  cr_assert(fixture.fleet.VersionOf(first.attempt) == Version("v1"));
}

//! What it takes counts as its workspace's, so that naming a stream buys no
//! greater share.
Test(resumedstream, CountsForItsWorkspace)
{
  FloodedFixture fixture;
  const auto before = fixture.Place(fixture.MakeRequest(3, "flood")).rate;
  for (int i = 0; i < 5; ++i) {
    fixture.Resume(Version("v1"), 60000ms);
  }
  const auto after = fixture.Place(fixture.MakeRequest(3, "flood")).rate;
  cr_assert(after.admitted > before.admitted);
}

//! Another router may not know the version yet, and would take a stream that it
//! cannot ask about for one of the version that it knows.
Test(resumedstream, NoStreamBeginsAtAVersionThatOtherRoutersMayNotKnow)
{
  FleetFixture fixture;
  fixture.route.resumable = true;
  fixture.ListVersions({ "v1", "v1" });
  fixture.now += 10000ms;
  fixture.ListVersions({ "v1", "v1", "v2" });
  std::uint64_t prefix = 0; // engines keep the prefixes that they have
  const auto countNew = [&] {
    int placed = 0;
    for (int i = 0; i < 30; ++i) {
      const auto place = fixture.Place(fixture.MakeRequest(++prefix));
      placed += place.softwareVersion == "v2" ? 1 : 0;
      fixture.fleet.EndAttempt(
        place.attempt, AttemptOutcome::Answered, fixture.now);
    }
    return placed;
  };
  cr_assert(countNew() == 0);
  fixture.now += kMaxListProofGap;
  cr_assert(countNew() > 0);
}

//! Another router that has not heard of v2 could resume the stream at v1. The
//! service stops for resumable streams alone, and for no longer than that.
Test(resumedstream, AStreamBeginsAtAVersionThatReplacesAllOthersOnceAllKnowIt)
{
  FleetFixture fixture;
  fixture.route.resumable = true;
  fixture.ListVersions({ "v1" });
  fixture.now += 10000ms;
  fixture.ListVersions({ "v2" });
  const auto early = fixture.Place(fixture.MakeRequest(1));
  cr_assert(early.outcome == PlaceOutcome::NoUpstream);
  cr_assert(early.suitability == Suitability::TooNew);
  cr_assert(early.retryAfter == kMaxListProofGap);
  fixture.route.resumable = false;
  cr_assert(fixture.Place(fixture.MakeRequest(2)).outcome ==
            PlaceOutcome::Placed);
  fixture.route.resumable = true;
  fixture.now += kMaxListProofGap;
  cr_assert(fixture.Place(fixture.MakeRequest(3)).outcome ==
            PlaceOutcome::Placed);
}

//! A router that has just started can't tell which of two versions is new.
Test(resumedstream, AStreamBeginsAtEitherVersionAtARouterThatHasJustStarted)
{
  FleetFixture fixture;
  fixture.route.resumable = true;
  fixture.ListVersions({ "v1", "v2" });
  cr_assert(fixture.Place(fixture.MakeRequest(1)).outcome ==
            PlaceOutcome::Placed);
}
