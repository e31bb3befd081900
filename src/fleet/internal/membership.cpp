#include "fleet/membership.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! More members than this are not taken from what others tell: a bound on
//! what rubbish can do.
constexpr std::size_t kMostMembers = 2048;

std::uint32_t
HashOf(const base::Address& aAddress)
{
  return base::HashName(aAddress.Text());
}

}

Membership::Membership(const base::Address& aSelf,
                       std::uint32_t aZone,
                       const std::vector<base::Address>& aSeeds)
  : m_self{ aSelf, aZone, HashOf(aSelf), {} }
{
  for (const auto& seed : aSeeds) {
    if (!(seed == aSelf)) {
      m_seeds.push_back(seed);
    }
  }
}

bool
Membership::IsAlive(const Member& aMember, TimePoint aNow) const
{
  return aNow - aMember.aliveAt < kMemberAlive;
}

void
Membership::Heard(const base::Address& aMember,
                  std::uint32_t aZone,
                  TimePoint aNow)
{
  Learn({ { aMember, aZone, Duration{} } }, aNow);
}

void
Membership::Learn(const std::vector<KnownMember>& aMembers, TimePoint aNow)
{
  for (const auto& known : aMembers) {
    if (known.address == m_self.address || known.age > kMemberKept) {
      continue;
    }
    const auto text = known.address.Text();
    if (m_members.size() >= kMostMembers && !m_members.contains(text)) {
      continue;
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
  std::vector<std::string> gone;
  std::erase_if(m_members, [&](const auto& aEntry) {
    const bool old = aNow - aEntry.second.aliveAt > kMemberKept;
    if (old) {
      gone.push_back(aEntry.first);
    }
    return old;
  });
  return gone;
}

std::size_t
Membership::Alive(TimePoint aNow) const
{
  return 1 + static_cast<std::size_t>(std::count_if(
               m_members.begin(), m_members.end(), [&](const auto& aEntry) {
                 return IsAlive(aEntry.second, aNow);
               }));
}

std::uint64_t
Membership::GroupOf(const Member& aMember, std::size_t aZoneSize) const
{
  const auto groups = (aZoneSize + kGroupMost - 1) / kGroupMost;
  const auto index = aMember.hash % std::max<std::size_t>(groups, 1);
  return (std::uint64_t{ aMember.zone } << 32) | index;
}

ExchangePlan
Membership::Plan(TimePoint aNow) const
{
  ExchangePlan plan;
  std::vector<Member> alive{ m_self };
  std::map<std::uint32_t, std::size_t> zoneSizes{ { m_self.zone, 1 } };
  for (const auto& [text, member] : m_members) {
    if (IsAlive(member, aNow)) {
      alive.push_back(member);
      zoneSizes[member.zone]++;
    }
  }
  if (alive.size() <= kMeshMost) {
    for (const auto& member : alive) {
      if (!(member.address == m_self.address)) {
        plan.tell.push_back(member.address);
      }
    }
    return plan;
  }
  std::map<std::uint64_t, std::vector<Member>> groups;
  for (const auto& member : alive) {
    groups[GroupOf(member, zoneSizes[member.zone])].push_back(member);
  }
  plan.group = GroupOf(m_self, zoneSizes[m_self.zone]);
  plan.isHub = false;
  for (auto& [group, members] : groups) {
    std::sort(members.begin(),
              members.end(),
              [](const auto& aFirst, const auto& aSecond) {
                return aFirst.hash < aSecond.hash;
              });
    const auto hubs = std::min(members.size(), kHubsOfGroup);
    for (std::size_t i = 0; i < members.size(); ++i) {
      const bool self = members[i].address == m_self.address;
      const bool hub = i < hubs;
      if (hub && group == plan.group) {
        plan.groupHubs.push_back(members[i].address);
      }
      if (group != plan.group) {
        if (hub) {
          plan.hubs.push_back(members[i].address);
        }
      } else if (self) {
        plan.isHub = hub;
      } else {
        if (hub) {
          plan.tell.push_back(members[i].address);
        }
        plan.followers.push_back(members[i].address);
      }
    }
  }
  if (!plan.isHub) {
    plan.followers.clear();
  }
  return plan;
}

std::vector<base::Address>
Membership::SeedsToTell(TimePoint aNow)
{
  //! NOTE all routers ask the same few seeds: the more there are, the less
  //! often each asks.
  const auto alive = Alive(aNow);
  const auto period =
    alive <= 1
      ? kReportPeriod
      : kSeedPeriod *
          std::max<std::int64_t>(1, static_cast<std::int64_t>(alive / 32));
  if (aNow - m_seedsToldAt < period) {
    return {};
  }
  m_seedsToldAt = aNow;
  return m_seeds;
}

std::vector<KnownMember>
Membership::Known(TimePoint aNow) const
{
  std::vector<KnownMember> known;
  for (const auto& [text, member] : m_members) {
    known.push_back({ member.address, member.zone, aNow - member.aliveAt });
  }
  return known;
}

}
