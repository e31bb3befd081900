#pragma once

#include "fleet/exchangeplan.h"
#include "fleet/peerreport.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! The routers of the fleet, as far as known. Found through the seeds and
//! through what members tell of others, each with the time since it was
//! heard by anyone, so that hearsay keeps no lost router alive.
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
  std::vector<KnownMember> KnownOfZone(std::uint32_t aZone,
                                       TimePoint aNow) const;
  //! Alive routers, this one too.
  std::size_t Alive(TimePoint aNow) const;
  bool IsAlone(TimePoint aNow) const { return Alive(aNow) <= 1; }

private:
  struct Member : FleetMember
  {
    TimePoint aliveAt{};
  };

  bool IsAlive(const Member& aMember, TimePoint aNow) const;
  RouterSet Routers(TimePoint aNow) const;

  FleetMember m_self;
  std::vector<base::Address> m_seeds;
  std::map<std::string, Member> m_members;
  TimePoint m_grownAt{ TimePoint::min() / 2 }; //!< m_members
  TimePoint m_seedsToldAt{ TimePoint::min() / 2 };
};

}
