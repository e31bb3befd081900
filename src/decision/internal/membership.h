#pragma once

#include "decision/decisiontypes.h"

#include <map>
#include <optional>
#include <vector>

namespace hemlockgauge::decision {

//! What is known of another router.
struct Member
{
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::Dead;
  std::string zone;
  TimePoint lastFrameAt{}; //!< time of its last frame or change
  std::uint32_t lastSequence = 0;
};

//! The neighbours of this router in the tree that routers with the same view of
//! the membership form.
struct TreePosition
{
  std::optional<RouterId> parent;
  std::vector<RouterId> children;

  bool operator==(const TreePosition&) const = default;
};

//! Tracks which routers are alive. A notice of a higher incarnation overrides a
//! lower one; within an incarnation, Dead overrides Left and Left overrides
//! Alive. A router that is wrongly declared dead refutes this with a higher
//! incarnation.
class Membership
{
public:
  Membership(RouterId aSelf, std::string aZone, std::uint32_t aIncarnation);

  //! Applies a notice; returns true if it changed the state. A notice about
  //! this router itself may raise its incarnation.
  bool ApplyNotice(const MemberNotice& aNotice,
                   const std::string& aZone,
                   TimePoint aNow);
  //! Records that a frame was received; returns false if it is outdated or a
  //! duplicate.
  bool RecordFrame(RouterId aRouter,
                   std::uint32_t aIncarnation,
                   std::uint32_t aSequence,
                   TimePoint aNow);
  //! Counts a broken connection as missed heartbeats.
  void LinkLost(RouterId aRouter, Duration aHeartbeatInterval);
  //! Declares neighbours dead that were silent for longer than aTimeout, and
  //! returns the notices.
  std::vector<MemberNotice> DeclareDead(TimePoint aNow, Duration aTimeout);
  //! Restarts the silence timers of the neighbours; called after a pause of
  //! this process.
  void ResetSilence(TimePoint aNow);
  void Leave();

  MemberNotice OwnNotice() const;
  bool IsAlive(RouterId aRouter) const;
  const std::map<RouterId, Member>& Others() const { return m_others; }
  std::vector<MemberNotice> Notices() const;
  std::size_t AliveCount() const { return m_aliveRouters.size(); }
  //! Number of members alive or dead, with this router; those that left are not
  //! counted.
  std::size_t KnownCount() const;
  const TreePosition& Position() const { return m_position; }
  //! Returns the alive router that lends the slots of an upstream, by
  //! rendezvous hashing; routers in the zone of the upstream come first.
  RouterId OwnerOf(UpstreamId aUpstream, const std::string& aZone) const;
  //! Whether this router is among the first kWatchersPerZone alive ones of its
  //! zone.
  bool WatchesPlatform() const;
  //! Identical on routers that know the same state of all members.
  std::uint32_t Digest() const;
  //! Increases with each change of the set of alive members.
  std::uint64_t Version() const { return m_version; }

private:
  void Rebuild();
  void WatchNeighbours(TimePoint aNow);

  RouterId m_self;
  std::string m_zone;
  std::uint32_t m_incarnation;
  MemberState m_ownState = MemberState::Alive;
  std::map<RouterId, Member> m_others;
  std::vector<std::pair<std::string, RouterId>> m_aliveRouters;
  TreePosition m_position;
  std::map<RouterId, TimePoint> m_watchedSince;
  std::uint64_t m_version = 0;
};

}
