#pragma once

#include "decision/decisiontypes.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockgauge::decision {

struct Member
{
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::Dead;
  std::string zone;
  TimePoint lastHeard{};
  std::uint32_t lastSequence = 0;
};

//! Where this router stands in the tree that all routers of one view form.
struct TreePlace
{
  std::optional<RouterId> parent;
  std::vector<RouterId> children;

  bool operator==(const TreePlace&) const = default;
};

//! Which routers are alive. A notice of a higher incarnation wins; of two
//! of the same incarnation, the worse state wins, and a router that is
//! called dead wrongly takes a higher incarnation.
class Membership
{
public:
  Membership(RouterId aSelf, std::string aZone, std::uint32_t aIncarnation);

  //! Returns whether the notice was news; it may raise our incarnation.
  bool Take(const MemberNotice& aNotice,
            const std::string& aZone,
            TimePoint aNow);
  //! A frame came; false if it is old or a copy.
  bool Heard(RouterId aRouter,
             std::uint32_t aIncarnation,
             std::uint32_t aSequence,
             TimePoint aNow);
  void LinkLost(RouterId aRouter, Duration aRound);
  //! Watched neighbours that were silent too long, now called dead.
  std::vector<MemberNotice> CallDead(TimePoint aNow, Duration aLimit);
  //! After a pause no silence of others counts against them.
  void ForgiveSilence(TimePoint aNow);
  void Leave();

  MemberNotice Own() const;
  bool IsAlive(RouterId aRouter) const;
  const std::map<RouterId, Member>& Others() const { return m_others; }
  std::vector<MemberNotice> Notices() const;
  std::size_t AliveCount() const { return m_order.size(); }
  //! Members ever known that did not leave by themselves.
  std::size_t KnownCount() const;
  const TreePlace& Place() const { return m_place; }
  //! The alive router that answers for an upstream's slots.
  RouterId OwnerOf(UpstreamId aUpstream, const std::string& aZone) const;
  //! Whether this router is among the first few alive of its zone.
  bool WatchesPlatform() const;
  //! The same on two routers that know the same of all members.
  std::uint32_t Digest() const;
  std::uint64_t Version() const { return m_version; }

private:
  void Rebuild();
  void WatchNeighbours(TimePoint aNow);

  RouterId m_self;
  std::string m_zone;
  std::uint32_t m_incarnation;
  MemberState m_ownState = MemberState::Alive;
  std::map<RouterId, Member> m_others;
  std::vector<std::pair<std::string, RouterId>> m_order;
  TreePlace m_place;
  std::map<RouterId, TimePoint> m_watchedSince;
  std::uint64_t m_version = 0;
};

}
