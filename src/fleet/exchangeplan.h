#pragma once

#include "base/address.h"

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
  std::vector<base::Address> tell;      //!< get this router's own report
  std::vector<base::Address> hubs;      //!< of other groups: get the group sum
  std::vector<base::Address> followers; //!< of our group: get the fleet sum
  //! The first routers in the order in which the store is read; the same by
  //! all views, and of different availability zones where there are some.
  std::vector<base::Address> readers;
  std::size_t readRank = 0; //!< this router's place in that order

  //! Whether reports come through hubs; in a small fleet they come directly.
  bool IsLarge() const { return !groupHubs.empty(); }
  //! Whether this router sums up for others; in a small fleet none does.
  bool SumsUp() const { return isHub && !(hubs.empty() && followers.empty()); }
};

//! aOthers: all routers that are alive, without aSelf.
//!
//! Up to kMeshMost routers tell each other directly. Beyond, routers of one
//! availability zone form groups; two hubs of each group, the same by all
//! views, sum up and pass on. A router then sends and gets a few datagrams a
//! period whatever the fleet's size, and a hub a few dozen.
ExchangePlan
MakeExchangePlan(const FleetMember& aSelf,
                 const std::vector<FleetMember>& aOthers);

}
