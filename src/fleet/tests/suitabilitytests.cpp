#include "corefixture.h"

#include <criterion/criterion.h>

#include <set>

//! Regions in which requests of a route or a workspace may run.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

const std::map<std::string, std::string> kRegions{ { "zone-a", "north" },
                                                   { "zone-b", "south" } };

const std::set<std::string> kOnlyA{ "of-zone-a" };
const std::set<std::string> kOnlyB{ "of-zone-b" };

FleetSettings
Settings()
{
  auto settings = BenchSettings();
  settings.regionOfZone = kRegions;
  return settings;
}

struct RegionBench : Bench
{
  RegionBench()
  {
    fleet.Reconfigure(Settings());
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
    fleet.FollowUpstreams(now);
  }

  std::uint64_t lastPrefix = 0;

  //! Every upstream that gets one of many requests.
  std::set<std::string> Used(const std::vector<std::string>* aOfWorkspace)
  {
    std::set<std::string> used;
    for (std::uint64_t i = 0; i < 60; ++i) {
      auto request = Ask(++lastPrefix);
      request.workspaceRegions = aOfWorkspace;
      request.admitted = true;
      const auto place = Place(request);
      if (place.outcome == PlaceOutcome::Placed) {
        used.insert(place.upstreamId);
        fleet.Ended(place.attempt, AttemptEnd::Answered, now);
      }
    }
    return used;
  }
};

}

Test(regions, ARequestOfNoRegionRunsAnywhere)
{
  RegionBench bench;
  cr_assert(bench.Used(nullptr).size() == 3);
}

Test(regions, ARouteIsKeptInItsRegions)
{
  RegionBench bench;
  bench.route.allowedRegions = { "south" };
  cr_assert(bench.Used(nullptr) == kOnlyB);
  bench.route.allowedRegions = { "south", "north" };
  cr_assert(bench.Used(nullptr).size() == 2);
}

Test(regions, AWorkspaceIsKeptInItsRegions)
{
  RegionBench bench;
  const std::vector<std::string> regions{ "north" };
  cr_assert(bench.Used(&regions) == kOnlyA);
}

Test(regions, WhereRouteAndWorkspaceNameRegionsBothBind)
{
  RegionBench bench;
  bench.route.allowedRegions = { "north", "south" };
  const std::vector<std::string> south{ "south", "west" };
  cr_assert(bench.Used(&south) == kOnlyB);
  bench.route.allowedRegions = { "north" };
  cr_assert(bench.Used(&south).empty());
}

//! A zone that the settings don't name lies in no region.
Test(regions, NothingLeftIsRefusedAtOnce)
{
  RegionBench bench;
  bench.route.allowedRegions = { "west" };
  const auto place = bench.Place(bench.Ask(1));
  cr_assert(place.outcome == PlaceOutcome::NoUpstream);
  cr_assert(place.suitability == Suitability::OtherRegion);
}
