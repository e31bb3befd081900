#include "decision/internal/peerflow.h"

#include "base/hash.h"
#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

//! For this long, a host list with state "live" does not override the
//! announcement of an upstream that it is leaving.
constexpr Duration kLeavingHoldTime = 30000ms;
constexpr Duration kLoadPollInterval = 1000ms;
//! Consecutive frames of a neighbour with a different digest after which this
//! router sends its state to it.
constexpr int kMismatchesToResync = 3;
//! Size of a heartbeat without demand entries, and of one such entry.
constexpr double kBareHeartbeatBytes = 230;
constexpr double kDemandEntryBytes = 12;
//! Minimum interval between heartbeats to a neighbour, for urgent ones.
constexpr Duration kMinUrgentHeartbeatInterval = 300ms;
//! Minimum interval between messages to one router that are large or cause a
//! reply.
constexpr Duration kMinRepeatInterval = 1000ms;

//! Revisions of the host list are multiplied by this and hence even. An entry
//! that a router marked as leaving itself has the next higher, odd revision.
constexpr std::uint64_t kRevisionStep = 2;

bool
SameHost(const HostEntry& aLeft, const HostEntry& aRight)
{
  return aLeft.state == aRight.state && aLeft.zone == aRight.zone &&
         aLeft.address == aRight.address &&
         aLeft.peerAddress == aRight.peerAddress && aLeft.pool == aRight.pool;
}

}

std::vector<RouterId>
PeerFlow::Neighbours() const
{
  const auto& position = m_state.membership.Position();
  auto neighbours = position.children;
  if (position.parent) {
    neighbours.push_back(*position.parent);
  }
  return neighbours;
}

void
PeerFlow::Handle(const FrameReceived& aEvent)
{
  const auto& frame = aEvent.frame;
  m_state.counters.bytesReceived += aEvent.bytes;
  if (frame.sender == m_state.self) {
    return;
  }
  HandleNotices(frame);
  for (const auto& host : frame.hosts) {
    MergeHost(host, frame.sender);
  }
  for (const auto& body : frame.documents) {
    HandleDocument(body, frame.sender);
  }
  if (NotifyIfOverridden(frame)) {
    return;
  }
  const bool fresh = m_state.membership.RecordFrame(
    frame.sender, frame.incarnation, frame.sequence, m_state.now);
  if (!fresh) {
    return;
  }
  if (frame.wantsSnapshot) {
    SendSnapshot(frame.sender);
  }
  m_heardSincePause = true;
  HandleVersions(frame);
  m_state.fleetView.HandleChildDemand(
    frame.sender, frame.subtreeDemand, m_state.now);
  if (m_state.membership.Position().parent == frame.sender) {
    m_state.fleetView.HandleTotals(frame.fleetTotals, m_state.now);
  }
  m_slots.HandleHints(frame.sender, frame.hints);
  m_slots.HandleReports(frame.sender, frame.reports);
  m_slots.HandleGrants(frame.sender, frame.boot, frame.grants);
  CompareDigest(frame);
}

//! Notifies the sender of a frame if a known notice overrides it: the sender is
//! considered left or dead, or has a higher incarnation from an earlier run.
//! The sender then takes a higher incarnation. Returns whether the frame is
//! overridden.
bool
PeerFlow::NotifyIfOverridden(const Frame& aFrame)
{
  const auto& others = m_state.membership.Others();
  const auto known = others.find(aFrame.sender);
  if (known == others.end()) {
    return false;
  }
  const auto& member = known->second;
  const bool declaredGone = member.state != MemberState::Alive &&
                            member.incarnation == aFrame.incarnation;
  const bool outdated = member.incarnation > aFrame.incarnation;
  if (!declaredGone && !outdated) {
    return false;
  }
  auto& sentAt = m_overriddenSentAt[aFrame.sender];
  if (m_state.now - sentAt >= kMinRepeatInterval) {
    sentAt = m_state.now;
    m_state.outbox.FrameFor(aFrame.sender)
      .members.push_back({ aFrame.sender, member.incarnation, member.state });
  }
  return true;
}

void
PeerFlow::HandleNotices(const Frame& aFrame)
{
  auto notices = aFrame.members;
  const bool ownNotice =
    std::any_of(notices.begin(), notices.end(), [&](const auto& aOne) {
      return aOne.router == aFrame.sender;
    });
  if (!ownNotice) {
    notices.push_back(
      { aFrame.sender, aFrame.incarnation, MemberState::Alive });
  }
  for (const auto& notice : notices) {
    std::string zone;
    for (const auto& host : aFrame.hosts) {
      if (RouterId(base::HashName(host.name)) == notice.router) {
        zone = host.zone;
      }
    }
    const auto* host = m_state.hosts.FindRouter(notice.router);
    if (zone.empty() && host != nullptr) {
      zone = host->zone;
    }
    const auto& others = m_state.membership.Others();
    const auto known = others.find(notice.router);
    const bool restarted =
      known != others.end() && known->second.incarnation < notice.incarnation;
    const bool returned =
      notice.router == aFrame.sender && notice.state == MemberState::Alive &&
      (known == others.end() || known->second.state != MemberState::Alive);
    if (!m_state.membership.ApplyNotice(notice, zone, m_state.now)) {
      continue;
    }
    if (notice.router == m_state.self) {
      Flood(m_state.membership.OwnNotice(), std::nullopt);
      m_state.outbox.FrameFor(aFrame.sender)
        .members.push_back(m_state.membership.OwnNotice());
      continue;
    }
    if (returned) {
      m_state.outbox.FrameFor(aFrame.sender).members =
        m_state.membership.Notices();
    }
    if (restarted || notice.state != MemberState::Alive) {
      m_state.slotOwner.ForgetRouter(notice.router);
    }
    Flood(notice, aFrame.sender);
    RecordMember(notice);
  }
}

void
PeerFlow::RecordMember(const MemberNotice& aNotice)
{
  m_state.Record(DecisionKind::MemberChanged,
                 "router=" + m_state.NameOf(aNotice.router) + " state=" +
                   std::string(kMemberStateNames.NameOf(aNotice.state)) +
                   " incarnation=" + std::to_string(aNotice.incarnation));
}

void
PeerFlow::Flood(const MemberNotice& aNotice, std::optional<RouterId> aFrom)
{
  for (const auto neighbour : Neighbours()) {
    if (neighbour == aFrom) {
      continue;
    }
    auto& frame = m_state.outbox.FrameFor(neighbour);
    frame.members.push_back(aNotice);
    const auto* host = m_state.hosts.FindRouter(aNotice.router);
    if (host != nullptr && aNotice.state == MemberState::Alive) {
      frame.hosts.push_back(*host);
    }
  }
}

void
PeerFlow::MergeHost(const HostEntry& aEntry, std::optional<RouterId> aFrom)
{
  if (!m_state.hosts.Merge(aEntry)) {
    return;
  }
  m_state.poolsStale = true;
  m_state.Record(DecisionKind::HostChanged,
                 "host=" + aEntry.name + " state=" +
                   std::string(kHostStateNames.NameOf(aEntry.state)));
  for (const auto neighbour : Neighbours()) {
    if (neighbour != aFrom) {
      m_state.outbox.FrameFor(neighbour).hosts.push_back(aEntry);
    }
  }
}

void
PeerFlow::MarkLeaving(UpstreamId aUpstream)
{
  const auto* host = m_state.hosts.FindUpstream(aUpstream);
  if (host == nullptr || host->state != HostState::Live) {
    return;
  }
  m_leavingSeenAt[aUpstream] = m_state.now;
  auto leaving = *host;
  leaving.state = HostState::Leaving;
  leaving.revision |= 1;
  MergeHost(leaving, std::nullopt);
}

void
PeerFlow::Handle(const HostsRead& aEvent)
{
  for (auto entry : aEvent.hosts) {
    entry.revision = aEvent.revision * kRevisionStep;
    const bool router = entry.role == HostRole::Router;
    const auto hash = base::HashName(entry.name);
    const auto* known = router ? m_state.hosts.FindRouter(RouterId(hash))
                               : m_state.hosts.FindUpstream(UpstreamId(hash));
    if (known != nullptr && SameHost(*known, entry)) {
      continue;
    }
    const auto seen = m_leavingSeenAt.find(UpstreamId(hash));
    const bool keepLeaving = !router && entry.state == HostState::Live &&
                             seen != m_leavingSeenAt.end() &&
                             m_state.now - seen->second < kLeavingHoldTime;
    if (!keepLeaving) {
      MergeHost(entry, std::nullopt);
    }
  }
}

void
PeerFlow::Handle(const DocumentRead& aEvent)
{
  HandleDocument({ aEvent.name, aEvent.revision, aEvent.text }, std::nullopt);
}

void
PeerFlow::HandleDocument(const DocumentBody& aBody,
                         std::optional<RouterId> aFrom)
{
  const auto before = m_state.configuration.RevisionOf(aBody.name);
  const auto outcome = m_state.configuration.Offer(aBody);
  m_state.CheckInvariant(m_state.configuration.RevisionOf(aBody.name) >= before,
                         "a document was replaced by an older revision");
  if (const auto* refused = std::get_if<DocumentRefused>(&outcome)) {
    m_state.AddAction(*refused);
  }
  const auto* inForce = std::get_if<DocumentInForce>(&outcome);
  if (inForce == nullptr) {
    return;
  }
  m_state.AddAction(*inForce);
  m_state.poolsStale = true;
  for (const auto neighbour : Neighbours()) {
    if (neighbour != aFrom) {
      m_state.outbox.FrameFor(neighbour).documents.push_back(aBody);
    }
  }
}

void
PeerFlow::HandleVersions(const Frame& aFrame)
{
  if (aFrame.versions.empty() && !aFrame.wantsSnapshot) {
    return;
  }
  std::map<std::string, std::uint64_t> theirs;
  for (const auto& version : aFrame.versions) {
    theirs[version.name] = version.revision;
  }
  for (const auto& [name, body] : m_state.configuration.Bodies()) {
    if (body.revision > theirs[name]) {
      m_state.outbox.FrameFor(aFrame.sender).documents.push_back(body);
    }
  }
  const bool behind =
    std::any_of(theirs.begin(), theirs.end(), [&](const auto& aOne) {
      return aOne.second > m_state.configuration.RevisionOf(aOne.first);
    });
  if (behind) {
    m_state.outbox.FrameFor(aFrame.sender).versions =
      m_state.configuration.Versions();
    if (m_state.configuration.Versions().empty()) {
      m_state.outbox.FrameFor(aFrame.sender).wantsSnapshot = true;
    }
  }
}

void
PeerFlow::SendSnapshot(RouterId aRouter)
{
  auto& sent = m_snapshotSentAt[aRouter];
  if (m_state.now - sent < kMinRepeatInterval) {
    return;
  }
  sent = m_state.now;
  auto& frame = m_state.outbox.FrameFor(aRouter);
  frame.members = m_state.membership.Notices();
  frame.hosts = m_state.hosts.All();
  frame.versions = m_state.configuration.Versions();
  frame.crashUpdates = m_state.quarantine.NextCrashRefresh(m_state.now);
}

void
PeerFlow::CompareDigest(const Frame& aFrame)
{
  const auto neighbours = Neighbours();
  const bool isNeighbour =
    std::find(neighbours.begin(), neighbours.end(), aFrame.sender) !=
    neighbours.end();
  if (!isNeighbour) {
    m_digestMismatches.erase(aFrame.sender);
    return;
  }
  auto& mismatches = m_digestMismatches[aFrame.sender];
  mismatches.state =
    aFrame.digest == m_state.Digest() ? 0 : mismatches.state + 1;
  const auto members = m_state.membership.Digest();
  mismatches.members =
    aFrame.membersDigest == members ? 0 : mismatches.members + 1;
  if (mismatches.members >= kMismatchesToResync) {
    mismatches.members = 0;
    m_state.outbox.FrameFor(aFrame.sender).members =
      m_state.membership.Notices();
  }
  if (mismatches.state >= kMismatchesToResync) {
    mismatches.state = 0;
    SendSnapshot(aFrame.sender);
  }
}

void
PeerFlow::Handle(const LinkLost& aEvent)
{
  m_state.membership.LinkLost(aEvent.router, m_state.HeartbeatInterval());
}

void
PeerFlow::Tick()
{
  const auto heartbeatInterval = m_state.HeartbeatInterval();
  for (const auto& notice : m_state.membership.DeclareDead(
         m_state.now, heartbeatInterval * kMaxMissedHeartbeats)) {
    m_state.slotOwner.ForgetRouter(notice.router);
    Flood(notice, std::nullopt);
    RecordMember(notice);
  }
  for (const auto neighbour : Neighbours()) {
    const auto sinceLast = m_state.now - m_heartbeatSentAt[neighbour];
    const bool urgent = sinceLast >= kMinUrgentHeartbeatInterval &&
                        m_state.outbox.HasRoom(kBareHeartbeatBytes) &&
                        m_state.fleetView.HasUrgentChangeFor(neighbour);
    if (sinceLast >= heartbeatInterval || urgent) {
      SendHeartbeat(neighbour);
    }
  }
  if (m_state.now - m_renewalSentAt >= m_state.RenewalInterval()) {
    m_renewalSentAt = m_state.now;
    m_slots.RenewLeases();
  }
  const bool alone = m_state.membership.AliveCount() == 1;
  const auto probeInterval = alone ? kJoinProbeInterval : kRejoinProbeInterval;
  if (m_state.now - m_probeSentAt >= probeInterval) {
    m_probeSentAt = m_state.now;
    ProbeRouters();
  }
  if (m_state.now - m_loadPolledAt >= kLoadPollInterval) {
    m_loadPolledAt = m_state.now;
    m_slots.PollLoads();
  }
  ReportWatching();
}

void
PeerFlow::SendHeartbeat(RouterId aNeighbour)
{
  auto& frame = m_state.outbox.FrameFor(aNeighbour);
  m_state.outbox.MarkHeartbeat(aNeighbour);
  m_heartbeatSentAt[aNeighbour] = m_state.now;
  frame.hints = m_slots.HintsFor(aNeighbour);
  const auto heartbeatInterval = m_state.HeartbeatInterval();
  const double seconds =
    std::chrono::duration<double>(heartbeatInterval).count();
  const auto links = static_cast<double>(Neighbours().size());
  const double budgetBytes =
    kSendBytesPerSecond * kHeartbeatBudgetRatio * seconds / links;
  const auto maxEntries = static_cast<std::size_t>(
    std::max(1.0, (budgetBytes - kBareHeartbeatBytes) / kDemandEntryBytes));
  const bool toParent = m_state.membership.Position().parent == aNeighbour;
  if (toParent) {
    frame.subtreeDemand = m_state.fleetView.PickForParent(
      aNeighbour, m_state.now, 2 * heartbeatInterval, maxEntries);
    return;
  }
  frame.fleetTotals = m_state.fleetView.PickForChild(
    aNeighbour, m_state.now, 2 * heartbeatInterval, maxEntries);
}

void
PeerFlow::ProbeRouters()
{
  const bool alone = m_state.membership.AliveCount() == 1;
  std::vector<RouterId> candidates;
  for (const auto& [router, host] : m_state.hosts.Routers()) {
    if (!m_state.membership.IsAlive(router) && host.state != HostState::Gone) {
      candidates.push_back(router);
    }
  }
  if (!candidates.empty()) {
    const auto router = candidates[m_state.random() % candidates.size()];
    auto& frame = m_state.outbox.FrameFor(router);
    frame.hosts = { m_state.settings.self };
    frame.members = { m_state.membership.OwnNotice() };
    if (alone) {
      frame.wantsSnapshot = true;
      frame.versions = m_state.configuration.Versions();
    }
    return;
  }
  if (!alone) {
    return;
  }
  for (const auto& seed : m_state.settings.seedAddresses) {
    auto frame =
      m_state.outbox.MakeSeedFrame(m_state.membership.OwnNotice().incarnation);
    frame.hosts = { m_state.settings.self };
    m_state.AddAction(SendFrame{ RouterId{}, seed, std::move(frame) });
  }
}

void
PeerFlow::ReportWatching()
{
  const bool watches = m_state.membership.WatchesPlatform();
  if (m_reportedWatching != watches) {
    m_reportedWatching = watches;
    m_state.AddAction(WatchPlatform{ watches });
  }
}

void
PeerFlow::ResumeAfterPause()
{
  m_heardSincePause = false;
  m_state.membership.ResetSilence(m_state.now);
  m_reportedWatching.reset();
  m_heartbeatSentAt.clear();
  m_probeSentAt = m_state.now - kRejoinProbeInterval;
}

void
PeerFlow::Leave()
{
  m_state.membership.Leave();
  Flood(m_state.membership.OwnNotice(), std::nullopt);
}

void
PeerFlow::Flush()
{
  for (const auto router : m_state.outbox.PendingRouters()) {
    const auto* host = m_state.hosts.FindRouter(router);
    if (host == nullptr) {
      m_state.outbox.Drop(router);
      continue;
    }
    Frame frame;
    if (m_state.outbox.TakeFrame(router,
                                 m_state.membership.OwnNotice().incarnation,
                                 m_state.Digest(),
                                 m_state.membership.Digest(),
                                 frame)) {
      m_state.AddAction(
        SendFrame{ router, host->peerAddress, std::move(frame) });
    }
  }
}

}
