#include "fleetfixture.h"

#include <criterion/criterion.h>

#include <set>

//! Regions that a route or a workspace restricts its requests to.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

const std::map<std::string, std::string> kRegions{ { "zone-a", "north" },
                                                   { "zone-b", "south" } };

const std::set<std::string> kOnlyA{ "of-zone-a" };
const std::set<std::string> kOnlyB{ "of-zone-b" };

FleetSettings
RegionSettings()
{
  auto settings = FixtureSettings();
  settings.regionOfZone = kRegions;
  return settings;
}

struct RegionFixture : FleetFixture
{
  RegionFixture()
  {
    fleet.Reconfigure(RegionSettings());
    std::vector<UpstreamEntry> entries;
    for (const std::string zone : { "zone-a", "zone-b", "zone-x" }) {
      UpstreamEntry entry;
      entry.id = "of-" + zone;
      entry.service = "engines";
      entry.zone = zone;
      entry.slots = 64;
      entries.push_back(entry);
    }
    fleet.Upstreams().Replace(entries, now);
    fleet.UpdateUpstreams(now);
  }

  std::uint64_t lastPrefix = 0;

  //! Returns the upstreams that get at least one of 60 requests.
  std::set<std::string> UsedUpstreams(
    const std::vector<std::string>* aWorkspaceRegions)
  {
    std::set<std::string> used;
    for (std::uint64_t i = 0; i < 60; ++i) {
      auto request = MakeRequest(++lastPrefix);
      request.workspaceRegions = aWorkspaceRegions;
      request.admitted = true;
      const auto place = Place(request);
      if (place.outcome == PlaceOutcome::Placed) {
        used.insert(place.upstreamId);
        fleet.EndAttempt(place.attempt, AttemptOutcome::Answered, now);
      }
    }
    return used;
  }
};

}

Test(regions, ARequestWithoutRegionsRunsAnywhere)
{
  RegionFixture fixture;
  cr_assert(fixture.UsedUpstreams(nullptr).size() == 3);
}

Test(regions, ARouteIsKeptInItsRegions)
{
  RegionFixture fixture;
  fixture.route.allowedRegions = { "south" };
  cr_assert(fixture.UsedUpstreams(nullptr) == kOnlyB);
  fixture.route.allowedRegions = { "south", "north" };
  cr_assert(fixture.UsedUpstreams(nullptr).size() == 2);
}

Test(regions, AWorkspaceIsKeptInItsRegions)
{
  RegionFixture fixture;
  const std::vector<std::string> regions{ "north" };
  cr_assert(fixture.UsedUpstreams(&regions) == kOnlyA);
}

Test(regions, TheRegionsOfRouteAndWorkspaceBothApply)
{
  RegionFixture fixture;
  fixture.route.allowedRegions = { "north", "south" };
  const std::vector<std::string> south{ "south", "west" };
  cr_assert(fixture.UsedUpstreams(&south) == kOnlyB);
  fixture.route.allowedRegions = { "north" };
  cr_assert(fixture.UsedUpstreams(&south).empty());
}

//! A zone that the settings give no region is in none.
Test(regions, ARequestWithoutAnUpstreamInItsRegionsIsRefused)
{
  RegionFixture fixture;
  fixture.route.allowedRegions = { "west" };
  const auto place = fixture.Place(fixture.MakeRequest(1));
  cr_assert(place.outcome == PlaceOutcome::NoUpstream);
  cr_assert(place.suitability == Suitability::OtherRegion);
}
