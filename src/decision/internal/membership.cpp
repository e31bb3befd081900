#include "decision/internal/membership.h"

#include "base/hash.h"
#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

//! A broken connection counts as this many missed heartbeats.
constexpr int kHeartbeatsPerLostLink = 2;

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
Membership::ApplyNotice(const MemberNotice& aNotice,
                        const std::string& aZone,
                        TimePoint aNow)
{
  if (aNotice.router == m_self) {
    const bool contradicted =
      aNotice.state != m_ownState && aNotice.incarnation >= m_incarnation;
    const bool overridden = contradicted || aNotice.incarnation > m_incarnation;
    if (overridden) {
      m_incarnation = aNotice.incarnation + 1;
    }
    return overridden;
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
  member.lastFrameAt = aNow;
  if (changed) {
    Rebuild();
    WatchNeighbours(aNow);
  }
  return true;
}

bool
Membership::RecordFrame(RouterId aRouter,
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
  member.lastFrameAt = aNow;
  return true;
}

void
Membership::LinkLost(RouterId aRouter, Duration aHeartbeatInterval)
{
  const auto found = m_others.find(aRouter);
  if (found != m_others.end()) {
    found->second.lastFrameAt -= aHeartbeatInterval * kHeartbeatsPerLostLink;
  }
  const auto watched = m_watchedSince.find(aRouter);
  if (watched != m_watchedSince.end()) {
    watched->second -= aHeartbeatInterval * kHeartbeatsPerLostLink;
  }
}

std::vector<MemberNotice>
Membership::DeclareDead(TimePoint aNow, Duration aTimeout)
{
  std::vector<MemberNotice> dead;
  for (const auto& [router, since] : m_watchedSince) {
    Member& member = m_others[router];
    const bool silent = aNow - std::max(since, member.lastFrameAt) > aTimeout;
    if (member.state == MemberState::Alive && silent) {
      dead.push_back({ router, member.incarnation, MemberState::Dead });
    }
  }
  for (const auto& notice : dead) {
    ApplyNotice(notice, "", aNow);
  }
  return dead;
}

void
Membership::ResetSilence(TimePoint aNow)
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
Membership::OwnNotice() const
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
  std::vector<MemberNotice> notices{ OwnNotice() };
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
  return m_aliveRouters.size() + static_cast<std::size_t>(dead);
}

RouterId
Membership::OwnerOf(UpstreamId aUpstream, const std::string& aZone) const
{
  RouterId best = m_self;
  bool bestLocal = false;
  std::uint64_t bestScore = 0;
  for (const auto& [zone, router] : m_aliveRouters) {
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
  for (const auto& [zone, router] : m_aliveRouters) {
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
  m_aliveRouters.clear();
  m_aliveRouters.emplace_back(m_zone, m_self);
  for (const auto& [router, member] : m_others) {
    if (member.state == MemberState::Alive) {
      m_aliveRouters.emplace_back(member.zone, router);
    }
  }
  std::sort(m_aliveRouters.begin(), m_aliveRouters.end());
  const auto at = std::find(
    m_aliveRouters.begin(), m_aliveRouters.end(), std::pair(m_zone, m_self));
  const auto index = static_cast<std::size_t>(at - m_aliveRouters.begin());
  m_position = {};
  if (index > 0) {
    m_position.parent = m_aliveRouters[(index - 1) / kTreeDegree].second;
  }
  for (std::size_t i = 1; i <= kTreeDegree; ++i) {
    const auto child = index * kTreeDegree + i;
    if (child < m_aliveRouters.size()) {
      m_position.children.push_back(m_aliveRouters[child].second);
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
  if (m_position.parent) {
    watch(*m_position.parent);
  }
  for (const auto child : m_position.children) {
    watch(child);
  }
  m_watchedSince = std::move(watched);
}

}
