#include "fleet/membership.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! Maximum number of members. It bounds the memory that invalid member lists
//! can take.
constexpr std::size_t kMaxMembers = 2048;

std::uint32_t
HashOf(const base::Address& aAddress)
{
  return base::HashName(aAddress.Text());
}

}

Membership::Membership(const base::Address& aSelf,
                       std::uint32_t aZone,
                       const std::vector<base::Address>& aSeeds)
  : m_self{ aSelf, aZone, HashOf(aSelf) }
{
  for (const auto& seed : aSeeds) {
    if (!(seed == aSelf)) {
      m_seeds.push_back(seed);
    }
  }
}

bool
Membership::IsAlive(const Member& aMember, TimePoint aNow)
{
  return aNow - aMember.aliveAt < kMemberAliveTimeout;
}

void
Membership::RecordReport(const base::Address& aMember,
                         std::uint32_t aZone,
                         TimePoint aNow)
{
  MergeMembers({ { aMember, aZone, Duration{} } }, aNow);
}

void
Membership::MergeMembers(const std::vector<MemberListEntry>& aMembers,
                         TimePoint aNow)
{
  for (const auto& known : aMembers) {
    if (known.address == m_self.address || known.age > kMemberTtl) {
      continue;
    }
    const auto text = known.address.Text();
    if (m_members.size() >= kMaxMembers && !m_members.contains(text)) {
      continue;
    }
    if (!m_members.contains(text)) {
      m_newMemberAt = aNow;
    }
    auto& member = m_members[text];
    member.address = known.address;
    member.zone = known.zone;
    member.hash = HashOf(known.address);
    member.aliveAt = std::max(member.aliveAt, aNow - known.age);
  }
}

std::vector<std::string>
Membership::Forget(TimePoint aNow)
{
  std::vector<std::string> forgotten;
  std::erase_if(m_members, [&](const auto& aEntry) {
    const bool isExpired = aNow - aEntry.second.aliveAt > kMemberTtl;
    if (isExpired) {
      forgotten.push_back(aEntry.first);
    }
    return isExpired;
  });
  return forgotten;
}

std::size_t
Membership::Alive(TimePoint aNow) const
{
  return 1 + static_cast<std::size_t>(std::count_if(
               m_members.begin(), m_members.end(), [&](const auto& aEntry) {
                 return IsAlive(aEntry.second, aNow);
               }));
}

bool
Membership::IsAlone(TimePoint aNow) const
{
  return std::none_of(
    m_members.begin(), m_members.end(), [&](const auto& aEntry) {
      return IsAlive(aEntry.second, aNow);
    });
}

const ExchangePlan&
Membership::Plan(TimePoint aNow)
{
  std::vector<FleetMember> alive;
  alive.reserve(m_members.size());
  for (const auto& [text, member] : m_members) {
    if (IsAlive(member, aNow)) {
      alive.push_back(member);
    }
  }
  if (alive != m_plannedFor || m_plansMade == 0) {
    m_plan = MakeExchangePlan(m_self, alive);
    m_plannedFor = std::move(alive);
    m_plansMade++;
  }
  m_plan.routers = Routers(aNow);
  return m_plan;
}

//! The set includes members that are not alive, so that a router which is cut
//! off computes the same owners of cold upstreams as the others until it
//! forgets them. By then it is alone, or knows only routers that are cut off
//! with it.
RouterSet
Membership::Routers(TimePoint aNow) const
{
  RouterSet set;
  set.self = m_self.hash;
  set.routers.push_back(m_self.hash);
  for (const auto& [text, member] : m_members) {
    set.routers.push_back(member.hash);
  }
  const bool isAlone = !m_seeds.empty() && IsAlone(aNow);
  const bool hearsMajority = 2 * Alive(aNow) > set.routers.size();
  set.isSettled =
    !isAlone && hearsMajority && aNow - m_newMemberAt >= kMembershipSettleTime;
  return set;
}

std::vector<base::Address>
Membership::SeedsToContact(TimePoint aNow)
{
  // All routers contact the same few seeds, so the period grows with the
  // fleet's size.
  const auto alive = Alive(aNow);
  const auto period =
    alive <= 1
      ? kReportInterval
      : kSeedInterval *
          std::max<std::int64_t>(1, static_cast<std::int64_t>(alive / 32));
  if (aNow - m_seedsContactedAt < period) {
    return {};
  }
  m_seedsContactedAt = aNow;
  return m_seeds;
}

std::vector<MemberListEntry>
Membership::Members(TimePoint aNow) const
{
  std::vector<MemberListEntry> known;
  for (const auto& [text, member] : m_members) {
    known.push_back({ member.address, member.zone, aNow - member.aliveAt });
  }
  return known;
}

std::vector<MemberListEntry>
Membership::MembersToReport(std::uint64_t aSequence, TimePoint aNow) const
{
  const bool isDue = aSequence % kReportsPerMemberList == 0;
  const bool learnedNew = aNow - m_newMemberAt < kMembershipSettleTime;
  return isDue && (m_plan.isHub || learnedNew) ? Members(aNow)
                                               : std::vector<MemberListEntry>{};
}

std::vector<MemberListEntry>
Membership::MembersOfGroup(std::uint64_t aSequence, TimePoint aNow) const
{
  std::vector<MemberListEntry> known;
  if (aSequence % kReportsPerMemberList != 0) {
    return known;
  }
  for (const auto& address : m_plan.followers) {
    const auto found = m_members.find(address.Text());
    if (found != m_members.end()) {
      const auto& member = found->second;
      known.push_back({ member.address, member.zone, aNow - member.aliveAt });
    }
  }
  return known;
}

std::vector<MemberListEntry>
Membership::MembersOfZone(std::uint32_t aZone, TimePoint aNow) const
{
  auto known = Members(aNow);
  std::erase_if(known,
                [&](const auto& aMember) { return aMember.zone != aZone; });
  return known;
}

}
