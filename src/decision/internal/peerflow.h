#pragma once

#include "decision/internal/corestate.h"
#include "decision/internal/slotflow.h"

#include <optional>

namespace hemlockgauge::decision {

//! Exchanges frames with other routers: membership, documents, hosts and
//! demand.
class PeerFlow
{
public:
  PeerFlow(CoreState& aState, SlotFlow& aSlots)
    : m_state(aState)
    , m_slots(aSlots)
  {
  }

  void Take(const FrameReceived& aEvent);
  void Take(const LinkLost& aEvent);
  void Take(const DocumentRead& aEvent);
  void Take(const HostsRead& aEvent);
  //! Merges a host entry and forwards it to the neighbours, except aFrom, if it
  //! is newer than the one known.
  void LearnHost(const HostEntry& aEntry, std::optional<RouterId> aFrom);
  //! Marks an upstream as leaving before the host list does so, because it
  //! announced this itself.
  void NoteLeaving(UpstreamId aUpstream);
  //! Sends the heartbeats, probes, renewals and load polls that are due.
  void Tick();
  //! Resets timers after a pause of the process.
  void Wake();
  //! Announces that this router leaves.
  void Leave();
  //! Sends the pending frames that the byte budget allows.
  void Flush();
  //! Children and parent of this router in the tree.
  std::vector<RouterId> Neighbours() const;
  //! Whether a frame was received since the last pause of the process.
  bool HeardSincePause() const { return m_heard; }

private:
  bool TellIfOverruled(const Frame& aFrame);
  void TakeNotices(const Frame& aFrame);
  void TakeVersions(const Frame& aFrame);
  void TakeBody(const DocumentBody& aBody, std::optional<RouterId> aFrom);
  void Flood(const MemberNotice& aNotice, std::optional<RouterId> aFrom);
  void SendSnapshot(RouterId aRouter);
  void CompareDigest(const Frame& aFrame);
  void Heartbeat(RouterId aNeighbour);
  void ProbeSomeone();
  void ReportWatching();
  void NoteMember(const MemberNotice& aNotice);

  CoreState& m_state;
  SlotFlow& m_slots;
  std::map<RouterId, TimePoint> m_lastHeartbeat;
  std::map<RouterId, TimePoint> m_toldOverruled;
  std::map<RouterId, TimePoint> m_snapshotSent;
  TimePoint m_lastRenewal{};
  TimePoint m_lastProbe{ -1000000 };
  TimePoint m_lastLoadPoll{ -1000000 };
  //! Consecutive frames whose digests differed from the own ones.
  struct Misses
  {
    int state = 0;
    int members = 0;
  };
  std::map<RouterId, Misses> m_digestMisses;
  std::map<UpstreamId, TimePoint> m_seenLeaving;
  std::optional<bool> m_watching; //!< last WatchPlatform action
  bool m_heard = true;
};

}
