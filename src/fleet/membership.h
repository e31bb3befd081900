#pragma once

#include "fleet/exchangeplan.h"
#include "fleet/peerreport.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! The known routers of the fleet. A router discovers the others through the
//! seeds and the member lists in reports. Each list entry carries the time
//! since any router heard the member directly, so that forwarding an entry
//! doesn't keep a lost router alive.
class Membership
{
public:
  Membership(const base::Address& aSelf,
             std::uint32_t aZone,
             const std::vector<base::Address>& aSeeds);

  //! Records that a report of aMember arrived at aNow.
  void RecordReport(const base::Address& aMember,
                    std::uint32_t aZone,
                    TimePoint aNow);
  //! Merges a member list that another router sent.
  void MergeMembers(const std::vector<MemberListEntry>& aMembers,
                    TimePoint aNow);
  //! Removes members that no router heard for kMemberTtl and returns their
  //! addresses as text.
  std::vector<std::string> Forget(TimePoint aNow);

  ExchangePlan Plan(TimePoint aNow) const;
  //! Returns the seeds if it is time to contact them again, which reconnects
  //! the parts of the fleet after a network partition. Otherwise returns an
  //! empty list.
  std::vector<base::Address> SeedsToContact(TimePoint aNow);
  std::vector<MemberListEntry> Members(TimePoint aNow) const;
  std::vector<MemberListEntry> MembersOfZone(std::uint32_t aZone,
                                             TimePoint aNow) const;
  //! Number of routers that are alive, including this one.
  std::size_t Alive(TimePoint aNow) const;
  bool IsAlone(TimePoint aNow) const { return Alive(aNow) <= 1; }

private:
  struct Member : FleetMember
  {
    TimePoint aliveAt{}; //!< when any router last heard this member
  };

  bool IsAlive(const Member& aMember, TimePoint aNow) const;
  RouterSet Routers(TimePoint aNow) const;

  FleetMember m_self;
  std::vector<base::Address> m_seeds;
  std::map<std::string, Member> m_members;
  TimePoint m_newMemberAt{ TimePoint::min() /
                           2 }; //!< when a new member was last learned
  TimePoint m_seedsContactedAt{ TimePoint::min() / 2 };
};

}
