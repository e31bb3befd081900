#pragma once

#include "fleet/peerreport.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! Who tells whom in this period.
struct ExchangePlan
{
  bool isHub = true; //!< this router sums up its group for the others
  std::uint64_t group = 0;
  //! All hubs of this router's group by rank, itself too if it is one.
  std::vector<base::Address> groupHubs;
  std::vector<base::Address> tell;      //!< get this router's own report
  std::vector<base::Address> hubs;      //!< of other groups: get the group sum
  std::vector<base::Address> followers; //!< of our group: get the fleet sum

  //! Whether reports come through hubs; in a small fleet they come directly.
  bool IsLarge() const { return !groupHubs.empty(); }
  //! Whether this router sums up for others; in a small fleet none does.
  bool SumsUp() const { return isHub && !(hubs.empty() && followers.empty()); }
};

//! The routers of the fleet, as far as known. Found through the seeds and
//! through what members tell of others, each with the time since it was
//! heard by anyone, so that hearsay keeps no lost router alive.
//!
//! Up to kMeshMost routers tell each other directly. Beyond, routers of one
//! availability zone form groups; two hubs of each group, the same by all
//! views, sum up and pass on. A router then sends and gets a few datagrams a
//! period whatever the fleet's size, and a hub a few dozen.
class Membership
{
public:
  Membership(const base::Address& aSelf,
             std::uint32_t aZone,
             const std::vector<base::Address>& aSeeds);

  //! A report came from there.
  void Heard(const base::Address& aMember, std::uint32_t aZone, TimePoint aNow);
  void Learn(const std::vector<KnownMember>& aMembers, TimePoint aNow);
  //! Drops who was not heard for long; returns their addresses.
  std::vector<std::string> Forget(TimePoint aNow);

  ExchangePlan Plan(TimePoint aNow) const;
  //! Seeds that are worth a word now: a partition may have hidden them.
  std::vector<base::Address> SeedsToTell(TimePoint aNow);
  std::vector<KnownMember> Known(TimePoint aNow) const;
  //! Alive routers, this one too.
  std::size_t Alive(TimePoint aNow) const;
  bool IsAlone(TimePoint aNow) const { return Alive(aNow) <= 1; }

private:
  struct Member
  {
    base::Address address;
    std::uint32_t zone = 0;
    std::uint32_t hash = 0;
    TimePoint aliveAt{};
  };

  bool IsAlive(const Member& aMember, TimePoint aNow) const;
  std::uint64_t GroupOf(const Member& aMember, std::size_t aZoneSize) const;

  Member m_self;
  std::vector<base::Address> m_seeds;
  std::map<std::string, Member> m_members;
  TimePoint m_seedsToldAt{ TimePoint::min() / 2 };
};

}
