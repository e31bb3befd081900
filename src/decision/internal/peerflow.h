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

  void Handle(const FrameReceived& aEvent);
  void Handle(const LinkLost& aEvent);
  void Handle(const DocumentRead& aEvent);
  void Handle(const HostsRead& aEvent);
  //! Merges a host entry and forwards it to the neighbours, except aFrom, if it
  //! is newer than the one known.
  void MergeHost(const HostEntry& aEntry, std::optional<RouterId> aFrom);
  //! Marks an upstream as leaving before the host list does so, because it
  //! announced this itself.
  void MarkLeaving(UpstreamId aUpstream);
  //! Sends the heartbeats, probes, renewals and load polls that are due.
  void Tick();
  //! Resets timers after a pause of the process.
  void ResumeAfterPause();
  //! Announces that this router leaves.
  void Leave();
  //! Sends the pending frames that the byte budget allows.
  void Flush();
  //! Children and parent of this router in the tree.
  std::vector<RouterId> Neighbours() const;
  //! Whether a frame was received since the last pause of the process.
  bool HeardSincePause() const { return m_heardSincePause; }

private:
  bool NotifyIfOverridden(const Frame& aFrame);
  void HandleNotices(const Frame& aFrame);
  void HandleVersions(const Frame& aFrame);
  void HandleDocument(const DocumentBody& aBody, std::optional<RouterId> aFrom);
  void Flood(const MemberNotice& aNotice, std::optional<RouterId> aFrom);
  void SendSnapshot(RouterId aRouter);
  void CompareDigest(const Frame& aFrame);
  void SendHeartbeat(RouterId aNeighbour);
  void ProbeRouters();
  void ReportWatching();
  void RecordMember(const MemberNotice& aNotice);

  CoreState& m_state;
  SlotFlow& m_slots;
  std::map<RouterId, TimePoint> m_heartbeatSentAt;
  std::map<RouterId, TimePoint> m_overriddenSentAt;
  std::map<RouterId, TimePoint> m_snapshotSentAt;
  TimePoint m_renewalSentAt{};
  TimePoint m_probeSentAt{ -1000000 };
  TimePoint m_loadPolledAt{ -1000000 };
  //! Consecutive frames whose digests differed from the own ones.
  struct Mismatches
  {
    int state = 0;
    int members = 0;
  };
  std::map<RouterId, Mismatches> m_digestMismatches;
  std::map<UpstreamId, TimePoint> m_leavingSeenAt;
  std::optional<bool> m_reportedWatching; //!< last WatchPlatform action
  bool m_heardSincePause = true;
};

}
