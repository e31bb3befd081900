#include "fleet/exchangeplan.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace hemlockgauge::fleet {

namespace {

//! Identifies a group by its availability zone and its number in the zone.
struct GroupKey
{
  std::uint32_t zone = 0;
  std::uint32_t number = 0;

  std::uint64_t Packed() const
  {
    return (std::uint64_t{ zone } << 32) | number;
  }
  bool operator<(const GroupKey& aOther) const
  {
    return Packed() < aOther.Packed();
  }
};

using Members = std::vector<const FleetMember*>;
using Groups = std::map<GroupKey, Members>;

//! Splits the routers of each zone into groups, each sorted by hash.
Groups
MakeGroups(const Members& aAll)
{
  std::map<std::uint32_t, Members> zones;
  for (const auto* member : aAll) {
    zones[member->zone].push_back(member);
  }
  Groups groups;
  for (const auto& [zone, members] : zones) {
    const auto count =
      (members.size() + kMaxMeanGroupSize - 1) / kMaxMeanGroupSize;
    for (const auto* member : members) {
      const auto number = static_cast<std::uint32_t>(member->hash % count);
      groups[{ zone, number }].push_back(member);
    }
  }
  for (auto& [key, members] : groups) {
    std::sort(members.begin(),
              members.end(),
              [](const auto* aFirst, const auto* aOther) {
                return aFirst->hash < aOther->hash;
              });
  }
  return groups;
}

//! Sort key of the order in which routers read the store. The first hub of one
//! group of each zone comes first, so that readers remain if a zone is cut off.
struct ReadOrderKey
{
  std::size_t rankInGroup = 0;
  std::uint32_t group = 0;
  std::uint32_t hash = 0;
  const FleetMember* member = nullptr;

  bool operator<(const ReadOrderKey& aOther) const
  {
    return std::tie(rankInGroup, group, hash) <
           std::tie(aOther.rankInGroup, aOther.group, aOther.hash);
  }
};

void
PlanStoreReaders(ExchangePlan& aPlan,
                 const Groups& aGroups,
                 const FleetMember& aSelf)
{
  std::vector<ReadOrderKey> order;
  for (const auto& [key, members] : aGroups) {
    for (std::size_t i = 0; i < members.size(); ++i) {
      order.push_back({ i, key.number, members[i]->hash, members[i] });
    }
  }
  std::sort(order.begin(), order.end());
  for (std::size_t i = 0; i < order.size(); ++i) {
    if (i < kStoreReaders) {
      aPlan.storeReaders.push_back(order[i].member->address);
    }
    if (order[i].member == &aSelf) {
      aPlan.storeReadRank = i;
    }
  }
}

std::vector<base::Address>
HubsOf(const Members& aGroup)
{
  std::vector<base::Address> hubs;
  for (std::size_t i = 0; i < std::min(aGroup.size(), kHubsPerGroup); ++i) {
    hubs.push_back(aGroup[i]->address);
  }
  return hubs;
}

//! Fills in the role of this router in its own group and its targets there.
void
PlanOwnGroup(ExchangePlan& aPlan,
             const Members& aMembers,
             const FleetMember& aSelf)
{
  aPlan.isHub = false;
  aPlan.groupHubs = HubsOf(aMembers);
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    const auto* member = aMembers[i];
    const bool hub = i < kHubsPerGroup;
    if (member == &aSelf) {
      aPlan.isHub = hub;
      aPlan.hubRank = i;
      continue;
    }
    if (hub) {
      aPlan.reportTargets.push_back(member->address);
    }
    aPlan.followers.push_back(member->address);
  }
  if (!aPlan.isHub) {
    aPlan.followers.clear();
  }
}

//! Returns the hubs of a zone: the first hub of each group, then the second
//! ones. The first kSpeakersPerZone of them are the speakers of the zone.
std::vector<base::Address>
HubsOfZone(const Groups& aGroups, std::uint32_t aZone)
{
  std::vector<base::Address> hubs;
  for (std::size_t rank = 0; rank < kHubsPerGroup; ++rank) {
    for (const auto& [key, members] : aGroups) {
      if (key.zone == aZone && rank < members.size()) {
        hubs.push_back(members[rank]->address);
      }
    }
  }
  return hubs;
}

std::set<std::uint32_t>
ZonesOf(const Groups& aGroups)
{
  std::set<std::uint32_t> zones;
  for (const auto& [key, members] : aGroups) {
    zones.insert(key.zone);
  }
  return zones;
}

void
Truncate(std::vector<base::Address>& aRouters, std::size_t aMaxCount)
{
  aRouters.resize(std::min(aRouters.size(), aMaxCount));
}

void
PlanZoneExchange(ExchangePlan& aPlan,
                 const Groups& aGroups,
                 const FleetMember& aSelf)
{
  auto own = HubsOfZone(aGroups, aSelf.zone);
  for (const auto& hub : own) {
    if (!(hub == aSelf.address)) {
      aPlan.zoneHubs.push_back(hub);
    }
  }
  Truncate(own, kSpeakersPerZone);
  const auto self = std::find(own.begin(), own.end(), aSelf.address);
  if (self == own.end()) {
    return;
  }
  aPlan.speakerCount = own.size();
  aPlan.speakerIndex = static_cast<std::uint64_t>(self - own.begin());
  for (const auto zone : ZonesOf(aGroups)) {
    if (zone != aSelf.zone) {
      aPlan.otherZones.push_back(HubsOfZone(aGroups, zone));
      Truncate(aPlan.otherZones.back(), kSpeakersPerZone);
    }
  }
}

void
PlanZoneGroups(ExchangePlan& aPlan,
               const Groups& aGroups,
               const FleetMember& aSelf)
{
  for (const auto& [key, members] : aGroups) {
    if (key.zone != aSelf.zone) {
      continue;
    }
    const bool own =
      std::find(members.begin(), members.end(), &aSelf) != members.end();
    if (own) {
      aPlan.group = key.Packed();
      PlanOwnGroup(aPlan, members, aSelf);
      continue;
    }
    const auto hubs = HubsOf(members);
    aPlan.otherGroupHubs.insert(
      aPlan.otherGroupHubs.end(), hubs.begin(), hubs.end());
  }
}

}

std::vector<base::Address>
ExchangePlan::ZoneSumTargets(std::uint64_t aSequence) const
{
  std::vector<base::Address> receivers;
  for (const auto& hubs : otherZones) {
    receivers.push_back(hubs[(aSequence / speakerCount) % hubs.size()]);
  }
  return receivers;
}

ExchangePlan
MakeExchangePlan(const FleetMember& aSelf,
                 const std::vector<FleetMember>& aOthers)
{
  ExchangePlan plan;
  Members all{ &aSelf };
  for (const auto& member : aOthers) {
    all.push_back(&member);
  }
  const auto groups = MakeGroups(all);
  PlanStoreReaders(plan, groups, aSelf);
  if (all.size() > kMaxMeshRouters) {
    PlanZoneGroups(plan, groups, aSelf);
    PlanZoneExchange(plan, groups, aSelf);
    return plan;
  }
  for (const auto& member : aOthers) {
    plan.reportTargets.push_back(member.address);
  }
  return plan;
}

}
