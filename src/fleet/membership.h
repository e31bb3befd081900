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

  //! Returns the plan among the routers that are alive. The plan is computed
  //! anew only after the set of these routers has changed.
  const ExchangePlan& Plan(TimePoint aNow);
  //! The other routers that the last plan includes.
  const std::vector<FleetMember>& PlannedFor() const { return m_plannedFor; }
  const FleetMember& Self() const { return m_self; }
  //! Returns the seeds if it is time to contact them again, which reconnects
  //! the parts of the fleet after a network partition. Otherwise returns an
  //! empty list.
  std::vector<base::Address> SeedsToContact(TimePoint aNow);
  std::vector<MemberListEntry> Members(TimePoint aNow) const;
  //! Returns the members that this router lists in its report aSequence; empty
  //! in most reports. A router that is not a hub lists members only after it
  //! learned of a new one, as its hubs know the others.
  std::vector<MemberListEntry> MembersToReport(std::uint64_t aSequence,
                                               TimePoint aNow) const;
  //! Returns the members of this hub's group to list in its group sum along
  //! with its report aSequence; empty for most reports. The other hubs of the
  //! zone hear of the group's routers only from its hubs.
  std::vector<MemberListEntry> MembersOfGroup(std::uint64_t aSequence,
                                              TimePoint aNow) const;
  std::vector<MemberListEntry> MembersOfZone(std::uint32_t aZone,
                                             TimePoint aNow) const;
  //! Number of routers that are alive, including this one.
  std::size_t Alive(TimePoint aNow) const;
  bool IsAlone(TimePoint aNow) const;
  //! Number of plans that were computed.
  std::uint64_t PlansMade() const { return m_plansMade; }

private:
  struct Member : FleetMember
  {
    TimePoint aliveAt{}; //!< when any router last heard this member
  };

  static bool IsAlive(const Member& aMember, TimePoint aNow);
  RouterSet Routers(TimePoint aNow) const;

  FleetMember m_self;
  std::vector<base::Address> m_seeds;
  std::map<std::string, Member> m_members;
  std::vector<FleetMember> m_plannedFor; //!< the others that m_plan includes
  ExchangePlan m_plan;
  std::uint64_t m_plansMade = 0;
  TimePoint m_newMemberAt{ TimePoint::min() /
                           2 }; //!< when a new member was last learned
  TimePoint m_seedsContactedAt{ TimePoint::min() / 2 };
};

}
