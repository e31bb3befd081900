#include "fleet/exchangeplan.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace hemlockgauge::fleet {

namespace {

//! A group's name: its availability zone, and its number there.
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

//! Splits each zone's routers into groups, each in the order of its hashes.
Groups
MakeGroups(const Members& aAll)
{
  std::map<std::uint32_t, Members> zones;
  for (const auto* member : aAll) {
    zones[member->zone].push_back(member);
  }
  Groups groups;
  for (const auto& [zone, members] : zones) {
    const auto count = (members.size() + kGroupMost - 1) / kGroupMost;
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

//! Where a router stands in the order of those that read the store: first the
//! first hub of one group of each zone, so that what cuts off a zone leaves
//! readers in others.
struct ReadOrder
{
  std::size_t placeInGroup = 0;
  std::uint32_t group = 0;
  std::uint32_t hash = 0;
  const FleetMember* member = nullptr;

  bool operator<(const ReadOrder& aOther) const
  {
    return std::tie(placeInGroup, group, hash) <
           std::tie(aOther.placeInGroup, aOther.group, aOther.hash);
  }
};

void
PlanReading(ExchangePlan& aPlan,
            const Groups& aGroups,
            const FleetMember& aSelf)
{
  std::vector<ReadOrder> order;
  for (const auto& [key, members] : aGroups) {
    for (std::size_t i = 0; i < members.size(); ++i) {
      order.push_back({ i, key.number, members[i]->hash, members[i] });
    }
  }
  std::sort(order.begin(), order.end());
  for (std::size_t i = 0; i < order.size(); ++i) {
    if (i < kStoreReaders) {
      aPlan.readers.push_back(order[i].member->address);
    }
    if (order[i].member == &aSelf) {
      aPlan.readRank = i;
    }
  }
}

std::vector<base::Address>
HubsOf(const Members& aGroup)
{
  std::vector<base::Address> hubs;
  for (std::size_t i = 0; i < std::min(aGroup.size(), kHubsOfGroup); ++i) {
    hubs.push_back(aGroup[i]->address);
  }
  return hubs;
}

//! Fills in what this router has to do in its own group.
void
PlanOwnGroup(ExchangePlan& aPlan,
             const Members& aMembers,
             const FleetMember& aSelf)
{
  aPlan.isHub = false;
  aPlan.groupHubs = HubsOf(aMembers);
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    const auto* member = aMembers[i];
    const bool hub = i < kHubsOfGroup;
    if (member == &aSelf) {
      aPlan.isHub = hub;
      aPlan.hubRank = i;
      continue;
    }
    if (hub) {
      aPlan.tell.push_back(member->address);
    }
    aPlan.followers.push_back(member->address);
  }
  if (!aPlan.isHub) {
    aPlan.followers.clear();
  }
}

//! A zone's hubs, the first ones of its groups before the second ones: the
//! first few speak for the zone.
std::vector<base::Address>
HubsOfZone(const Groups& aGroups, std::uint32_t aZone)
{
  std::vector<base::Address> hubs;
  for (std::size_t place = 0; place < kHubsOfGroup; ++place) {
    for (const auto& [key, members] : aGroups) {
      if (key.zone == aZone && place < members.size()) {
        hubs.push_back(members[place]->address);
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
KeepFirst(std::vector<base::Address>& aRouters, std::size_t aMost)
{
  aRouters.resize(std::min(aRouters.size(), aMost));
}

void
PlanZones(ExchangePlan& aPlan, const Groups& aGroups, const FleetMember& aSelf)
{
  auto own = HubsOfZone(aGroups, aSelf.zone);
  for (const auto& hub : own) {
    if (!(hub == aSelf.address)) {
      aPlan.relays.push_back(hub);
    }
  }
  KeepFirst(own, kSpeakersOfZone);
  const auto self = std::find(own.begin(), own.end(), aSelf.address);
  if (self == own.end()) {
    return;
  }
  aPlan.speakers = own.size();
  aPlan.speaker = static_cast<std::uint64_t>(self - own.begin());
  for (const auto zone : ZonesOf(aGroups)) {
    if (zone != aSelf.zone) {
      aPlan.otherZones.push_back(HubsOfZone(aGroups, zone));
      KeepFirst(aPlan.otherZones.back(), kSpeakersOfZone);
    }
  }
}

void
PlanGroups(ExchangePlan& aPlan, const Groups& aGroups, const FleetMember& aSelf)
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
    aPlan.hubs.insert(aPlan.hubs.end(), hubs.begin(), hubs.end());
  }
}

}

std::vector<base::Address>
ExchangePlan::ZoneContacts(std::uint64_t aSequence) const
{
  std::vector<base::Address> contacts;
  for (const auto& hubs : otherZones) {
    contacts.push_back(hubs[(aSequence / speakers) % hubs.size()]);
  }
  return contacts;
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
  PlanReading(plan, groups, aSelf);
  if (all.size() > kMeshMost) {
    PlanGroups(plan, groups, aSelf);
    PlanZones(plan, groups, aSelf);
    return plan;
  }
  for (const auto& member : aOthers) {
    plan.tell.push_back(member.address);
  }
  return plan;
}

}
