#pragma once

#include "base/address.h"
#include "fleet/warmup.h"

#include <cstdint>
#include <vector>

namespace hemlockgauge::fleet {

//! Input of the exchange plan about one router.
struct FleetMember
{
  base::Address address;
  std::uint32_t zone = 0; //!< hash of its availability zone's name
  std::uint32_t hash = 0; //!< hash of the address; all routers sort by it

  bool operator==(const FleetMember&) const = default;
};

//! The routers that this router exchanges reports with, its role in this
//! exchange, and the routers that read the platform's store.
struct ExchangePlan
{
  bool isHub = true; //!< sums up the reports of its group for others
  std::uint64_t group = 0;
  //! All hubs of this router's group by rank, including this router if it is
  //! one. Empty in a small fleet.
  std::vector<base::Address> groupHubs;
  std::size_t hubRank = 0; //!< index of this router in groupHubs, if a hub
  //! Routers that this router sends its own report to.
  std::vector<base::Address> reportTargets;
  //! Hubs of the zone's other groups. They get the sum of this hub's group.
  std::vector<base::Address> otherGroupHubs;
  //! The other routers of this hub's group. They get the fleet sum.
  std::vector<base::Address> followers;
  //! All other hubs of the zone. This router forwards them the sums that it
  //! gets from other zones.
  std::vector<base::Address> zoneHubs;
  //! For each other zone, the hubs that accept zone sums. Empty unless this
  //! router is a speaker of its zone.
  std::vector<std::vector<base::Address>> otherZones;
  std::uint64_t speakerCount = 0; //!< number of speakers of this zone
  std::uint64_t speakerIndex =
    0; //!< index of this router among them, if it is one
  //! The first kStoreReaders routers in the order of storeReadRank. All routers
  //! compute the same list; it spans availability zones where there are
  //! several.
  std::vector<base::Address> storeReaders;
  //! Position of this router in the order in which routers turn to the store.
  std::size_t storeReadRank = 0;

  //! The routers that cold upstreams are distributed over.
  RouterSet routers;

  //! Whether reports travel through hubs. In a small fleet, all routers send
  //! them to each other directly.
  bool IsLarge() const { return !groupHubs.empty(); }
  //! Whether this router sends sums to others. In a small fleet, none does.
  bool AggregatesReports() const { return isHub && IsLarge(); }
  //! Whether this hub sends the fleet sum to its group in period aPeriod. The
  //! hubs of a group take turns: each router gets one sum per period, or one
  //! in two periods after a hub was lost.
  bool SendsFleetSum(std::uint64_t aPeriod) const
  {
    return groupHubs.empty() || aPeriod % groupHubs.size() == hubRank;
  }
  //! Whether this router sends the zone sum to other zones along with its
  //! report number aSequence. The speakers of a zone take turns; if one is
  //! lost, half of the zone sums still arrive.
  bool SendsZoneSum(std::uint64_t aSequence) const
  {
    return !otherZones.empty() && aSequence % speakerCount == speakerIndex;
  }
  //! Returns the receivers of that zone sum: one hub of each other zone, in
  //! rotation.
  std::vector<base::Address> ZoneSumTargets(std::uint64_t aSequence) const;
};

//! Computes the plan of aSelf. aOthers holds all other routers that are alive.
//!
//! Up to kMaxMeshRouters routers form a full mesh. In a larger fleet, the
//! routers of each availability zone are split into groups, and two hubs per
//! group, which all routers determine alike, sum up reports and pass them on.
//! The hubs of a zone exchange their group sums. Two of them, the speakers of
//! the zone, send its sum to the other zones, whose hubs forward it among
//! themselves.
//!
//! Per period, a router then sends and receives a few datagrams whatever the
//! fleet's size, and a hub a few dozen. Traffic between zones grows only with
//! the number of zones. A full mesh of all hubs sent two thirds of all bytes
//! between zones (0.67 of 0.96 GB in 50 s with 295 routers).
ExchangePlan
MakeExchangePlan(const FleetMember& aSelf,
                 const std::vector<FleetMember>& aOthers);

}
