#include "decision/internal/membership.h"

#include "base/hash.h"
#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

//! A broken connection counts as this many missed heartbeats.
constexpr int kRoundsOfLostLink = 2;

}

Membership::Membership(RouterId aSelf,
                       std::string aZone,
                       std::uint32_t aIncarnation)
  : m_self(aSelf)
  , m_zone(std::move(aZone))
  , m_incarnation(aIncarnation)
{
  Rebuild();
}

bool
Membership::Take(const MemberNotice& aNotice,
                 const std::string& aZone,
                 TimePoint aNow)
{
  if (aNotice.router == m_self) {
    const bool wrong =
      aNotice.state != m_ownState && aNotice.incarnation >= m_incarnation;
    const bool overruled = wrong || aNotice.incarnation > m_incarnation;
    if (overruled) {
      m_incarnation = aNotice.incarnation + 1;
    }
    return overruled;
  }
  const auto [at, isNew] = m_others.try_emplace(aNotice.router);
  Member& member = at->second;
  if (!aZone.empty()) {
    member.zone = aZone;
  }
  const bool newer = aNotice.incarnation > member.incarnation;
  const bool worse =
    aNotice.incarnation == member.incarnation && aNotice.state > member.state;
  if (!isNew && !newer && !worse) {
    return false;
  }
  if (newer) {
    member.lastSequence = 0;
  }
  const bool changed = isNew || member.state != aNotice.state;
  member.incarnation = aNotice.incarnation;
  member.state = aNotice.state;
  member.lastHeard = aNow;
  if (changed) {
    Rebuild();
    WatchNeighbours(aNow);
  }
  return true;
}

bool
Membership::Heard(RouterId aRouter,
                  std::uint32_t aIncarnation,
                  std::uint32_t aSequence,
                  TimePoint aNow)
{
  const auto found = m_others.find(aRouter);
  if (found == m_others.end()) {
    return false;
  }
  Member& member = found->second;
  if (aIncarnation < member.incarnation || aSequence <= member.lastSequence) {
    return false;
  }
  member.lastSequence = aSequence;
  member.lastHeard = aNow;
  return true;
}

void
Membership::LinkLost(RouterId aRouter, Duration aRound)
{
  const auto found = m_others.find(aRouter);
  if (found != m_others.end()) {
    found->second.lastHeard -= aRound * kRoundsOfLostLink;
  }
  const auto watched = m_watchedSince.find(aRouter);
  if (watched != m_watchedSince.end()) {
    watched->second -= aRound * kRoundsOfLostLink;
  }
}

std::vector<MemberNotice>
Membership::CallDead(TimePoint aNow, Duration aLimit)
{
  std::vector<MemberNotice> dead;
  for (const auto& [router, since] : m_watchedSince) {
    Member& member = m_others[router];
    const bool silent = aNow - std::max(since, member.lastHeard) > aLimit;
    if (member.state == MemberState::Alive && silent) {
      dead.push_back({ router, member.incarnation, MemberState::Dead });
    }
  }
  for (const auto& notice : dead) {
    Take(notice, "", aNow);
  }
  return dead;
}

void
Membership::ForgiveSilence(TimePoint aNow)
{
  for (auto& [router, since] : m_watchedSince) {
    since = aNow;
  }
}

void
Membership::Leave()
{
  m_ownState = MemberState::Left;
}

MemberNotice
Membership::Own() const
{
  return { m_self, m_incarnation, m_ownState };
}

bool
Membership::IsAlive(RouterId aRouter) const
{
  const auto found = m_others.find(aRouter);
  return aRouter == m_self ||
         (found != m_others.end() && found->second.state == MemberState::Alive);
}

std::vector<MemberNotice>
Membership::Notices() const
{
  std::vector<MemberNotice> notices{ Own() };
  for (const auto& [router, member] : m_others) {
    notices.push_back({ router, member.incarnation, member.state });
  }
  return notices;
}

std::uint32_t
Membership::Digest() const
{
  std::uint32_t digest = 0;
  for (const auto& notice : Notices()) {
    const auto state = static_cast<std::uint32_t>(notice.state);
    digest ^= static_cast<std::uint32_t>(
      base::HashPair(base::Raw(notice.router), notice.incarnation * 4 + state));
  }
  return digest;
}

std::size_t
Membership::KnownCount() const
{
  const auto dead =
    std::count_if(m_others.begin(), m_others.end(), [](const auto& aOne) {
      return aOne.second.state == MemberState::Dead;
    });
  return m_order.size() + static_cast<std::size_t>(dead);
}

RouterId
Membership::OwnerOf(UpstreamId aUpstream, const std::string& aZone) const
{
  RouterId best = m_self;
  bool bestLocal = false;
  std::uint64_t bestScore = 0;
  for (const auto& [zone, router] : m_order) {
    const bool local = zone == aZone;
    const auto score = base::HashPair(base::Raw(aUpstream), base::Raw(router));
    if (std::pair(local, score) >= std::pair(bestLocal, bestScore)) {
      best = router;
      bestLocal = local;
      bestScore = score;
    }
  }
  return best;
}

bool
Membership::WatchesPlatform() const
{
  std::size_t before = 0;
  for (const auto& [zone, router] : m_order) {
    if (router == m_self) {
      return before < kWatchersPerZone;
    }
    before += zone == m_zone ? 1 : 0;
  }
  return true;
}

//! Rebuilds the tree: the alive routers, sorted by zone and id, form an
//! implicit heap with kTreeDegree children per node. Sorting by zone keeps most
//! links of the lower levels within a zone.
void
Membership::Rebuild()
{
  m_version++;
  m_order.clear();
  m_order.emplace_back(m_zone, m_self);
  for (const auto& [router, member] : m_others) {
    if (member.state == MemberState::Alive) {
      m_order.emplace_back(member.zone, router);
    }
  }
  std::sort(m_order.begin(), m_order.end());
  const auto at =
    std::find(m_order.begin(), m_order.end(), std::pair(m_zone, m_self));
  const auto index = static_cast<std::size_t>(at - m_order.begin());
  m_place = {};
  if (index > 0) {
    m_place.parent = m_order[(index - 1) / kTreeDegree].second;
  }
  for (std::size_t i = 1; i <= kTreeDegree; ++i) {
    const auto child = index * kTreeDegree + i;
    if (child < m_order.size()) {
      m_place.children.push_back(m_order[child].second);
    }
  }
}

void
Membership::WatchNeighbours(TimePoint aNow)
{
  std::map<RouterId, TimePoint> watched;
  const auto watch = [&](RouterId aRouter) {
    const auto known = m_watchedSince.find(aRouter);
    watched[aRouter] = known == m_watchedSince.end() ? aNow : known->second;
  };
  if (m_place.parent) {
    watch(*m_place.parent);
  }
  for (const auto child : m_place.children) {
    watch(child);
  }
  m_watchedSince = std::move(watched);
}

}
