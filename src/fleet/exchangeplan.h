#pragma once

#include "base/address.h"
#include "fleet/warmup.h"

#include <cstdint>
#include <vector>

namespace hemlockgauge::fleet {

//! A router of the fleet as a plan sees it.
struct FleetMember
{
  base::Address address;
  std::uint32_t zone = 0; //!< hash of its availability zone's name
  std::uint32_t hash = 0; //!< of its address: its rank by all views
};

//! Who tells whom in this period, and who reads the platform's store.
struct ExchangePlan
{
  bool isHub = true; //!< this router sums up its group for the others
  std::uint64_t group = 0;
  //! All hubs of this router's group by rank, itself too if it is one.
  std::vector<base::Address> groupHubs;
  std::size_t hubRank = 0; //!< this router's place among them, if it is one
  std::vector<base::Address> tell;      //!< get this router's own report
  std::vector<base::Address> hubs;      //!< of the zone's other groups: get the
                                        //!< group sum
  std::vector<base::Address> followers; //!< of our group: get the fleet sum
  //! All hubs of this zone but this one: get what other zones tell it.
  std::vector<base::Address> relays;
  //! For each other zone the hubs that its sums may be sent to. Empty unless
  //! this router speaks for its zone.
  std::vector<std::vector<base::Address>> otherZones;
  std::uint64_t speakers = 0; //!< of this zone
  std::uint64_t speaker = 0;  //!< which of them this router is, if it speaks
  //! The first routers in the order in which the store is read; the same by
  //! all views, and of different availability zones where there are some.
  std::vector<base::Address> readers;
  std::size_t readRank = 0; //!< this router's place in that order

  //! Among whom cold upstreams are shared out.
  RouterSet routers;

  //! Whether reports come through hubs; in a small fleet they come directly.
  bool IsLarge() const { return !groupHubs.empty(); }
  //! Whether this router sums up for others; in a small fleet none does.
  bool SumsUp() const { return isHub && IsLarge(); }
  //! Whether this hub tells its group the sum of all in that period: a group's
  //! hubs take turns, so each router gets one sum a period, and one in two
  //! where a hub was lost.
  bool TellsFollowers(std::uint64_t aPeriod) const
  {
    return groupHubs.empty() || aPeriod % groupHubs.size() == hubRank;
  }
  //! Whether it tells other zones with its report of that number: a zone's
  //! speakers take turns, so that one may be lost and half of the news remains.
  bool Speaks(std::uint64_t aSequence) const
  {
    return !otherZones.empty() && aSequence % speakers == speaker;
  }
  //! Where the zone sum goes then: to one hub of each other zone, a different
  //! one each time.
  std::vector<base::Address> ZoneContacts(std::uint64_t aSequence) const;
};

//! aOthers: all routers that are alive, without aSelf.
//!
//! Up to kMeshMost routers tell each other directly. Beyond, routers of one
//! availability zone form groups; two hubs of each group, the same by all
//! views, sum up and pass on. The hubs of a zone tell each other their groups'
//! sums; two of them speak for the zone to the others, whose hubs pass it on
//! among themselves. A router then sends and gets a few datagrams a period
//! whatever the fleet's size, a hub a few dozen, and what crosses zones grows
//! with the zones alone: hubs that all told each other sent two thirds of all
//! bytes between zones (0.67 of 0.96 GB in 50 s, 295 routers).
ExchangePlan
MakeExchangePlan(const FleetMember& aSelf,
                 const std::vector<FleetMember>& aOthers);

}
