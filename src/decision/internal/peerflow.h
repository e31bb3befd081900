#pragma once

#include "decision/internal/corestate.h"
#include "decision/internal/slotflow.h"

#include <optional>

namespace hemlockgauge::decision {

//! Talk with other routers: membership, documents, hosts and the view.
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
  void LearnHost(const HostEntry& aEntry, std::optional<RouterId> aFrom);
  //! The first sign that an upstream is leaving, before the host list.
  void NoteLeaving(UpstreamId aUpstream);
  //! Heartbeats, rejoin probes and renewals that are due.
  void Tick();
  void Wake();
  void Leave();
  //! Hands out the waiting frames that the budget allows.
  void Flush();
  //! Those next to this router in the tree.
  std::vector<RouterId> Neighbours() const;
  //! A frame came since the last pause.
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
  struct Misses
  {
    int state = 0;
    int members = 0;
  };
  std::map<RouterId, Misses> m_digestMisses;
  std::map<UpstreamId, TimePoint> m_seenLeaving;
  std::optional<bool> m_watching;
  bool m_heard = true;
};

}
