#include "decision/internal/peerflow.h"

#include "base/hash.h"
#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

//! For this long, a host list with state "live" does not override the
//! announcement of an upstream that it is leaving.
constexpr Duration kLeavingHold = 30000ms;
constexpr Duration kLoadPollPeriod = 1000ms;
//! Consecutive frames with a different digest after which the own state is
//! sent.
constexpr int kMissesToResync = 3;
//! Size of a heartbeat without demand entries, and of one such entry.
constexpr double kBareHeartbeatBytes = 230;
constexpr double kEntryBytes = 12;
//! Minimum interval between heartbeats to a neighbour, for urgent ones.
constexpr Duration kUrgentGap = 300ms;
//! Minimum interval between messages to one router that are large or cause a
//! reply.
constexpr Duration kRepeatGap = 1000ms;

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
  const auto& place = m_state.membership.Place();
  auto neighbours = place.children;
  if (place.parent) {
    neighbours.push_back(*place.parent);
  }
  return neighbours;
}

void
PeerFlow::Take(const FrameReceived& aEvent)
{
  const auto& frame = aEvent.frame;
  m_state.counters.bytesReceived += aEvent.bytes;
  if (frame.sender == m_state.self) {
    return;
  }
  TakeNotices(frame);
  for (const auto& host : frame.hosts) {
    LearnHost(host, frame.sender);
  }
  for (const auto& body : frame.documents) {
    TakeBody(body, frame.sender);
  }
  if (TellIfOverruled(frame)) {
    return;
  }
  const bool fresh = m_state.membership.Heard(
    frame.sender, frame.incarnation, frame.sequence, m_state.now);
  if (!fresh) {
    return;
  }
  if (frame.wantsSnapshot) {
    SendSnapshot(frame.sender);
  }
  m_heard = true;
  TakeVersions(frame);
  m_state.view.TakeUp(frame.sender, frame.up, m_state.now);
  if (m_state.membership.Place().parent == frame.sender) {
    m_state.view.TakeDown(frame.down, m_state.now);
  }
  m_slots.TakeHints(frame.sender, frame.hints);
  m_slots.TakeReports(frame.sender, frame.reports);
  m_slots.TakeGrants(frame.sender, frame.boot, frame.grants);
  CompareDigest(frame);
}

//! Notifies the sender of a frame if a known notice overrides it: the sender is
//! considered left or dead, or has a higher incarnation from an earlier run.
//! The sender then takes a higher incarnation. Returns whether the frame is
//! overridden.
bool
PeerFlow::TellIfOverruled(const Frame& aFrame)
{
  const auto& others = m_state.membership.Others();
  const auto known = others.find(aFrame.sender);
  if (known == others.end()) {
    return false;
  }
  const auto& member = known->second;
  const bool calledDead = member.state != MemberState::Alive &&
                          member.incarnation == aFrame.incarnation;
  const bool outdated = member.incarnation > aFrame.incarnation;
  if (!calledDead && !outdated) {
    return false;
  }
  auto& told = m_toldOverruled[aFrame.sender];
  if (m_state.now - told >= kRepeatGap) {
    told = m_state.now;
    m_state.outbox.For(aFrame.sender)
      .members.push_back({ aFrame.sender, member.incarnation, member.state });
  }
  return true;
}

void
PeerFlow::TakeNotices(const Frame& aFrame)
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
    if (!m_state.membership.Take(notice, zone, m_state.now)) {
      continue;
    }
    if (notice.router == m_state.self) {
      Flood(m_state.membership.Own(), std::nullopt);
      m_state.outbox.For(aFrame.sender)
        .members.push_back(m_state.membership.Own());
      continue;
    }
    if (returned) {
      m_state.outbox.For(aFrame.sender).members = m_state.membership.Notices();
    }
    if (restarted || notice.state != MemberState::Alive) {
      m_state.owner.ForgetRouter(notice.router);
    }
    Flood(notice, aFrame.sender);
    NoteMember(notice);
  }
}

void
PeerFlow::NoteMember(const MemberNotice& aNotice)
{
  m_state.Note(DecisionKind::MemberChanged,
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
    auto& frame = m_state.outbox.For(neighbour);
    frame.members.push_back(aNotice);
    const auto* host = m_state.hosts.FindRouter(aNotice.router);
    if (host != nullptr && aNotice.state == MemberState::Alive) {
      frame.hosts.push_back(*host);
    }
  }
}

void
PeerFlow::LearnHost(const HostEntry& aEntry, std::optional<RouterId> aFrom)
{
  if (!m_state.hosts.Merge(aEntry)) {
    return;
  }
  m_state.poolsStale = true;
  m_state.Note(DecisionKind::HostChanged,
               "host=" + aEntry.name +
                 " state=" + std::string(kHostStateNames.NameOf(aEntry.state)));
  for (const auto neighbour : Neighbours()) {
    if (neighbour != aFrom) {
      m_state.outbox.For(neighbour).hosts.push_back(aEntry);
    }
  }
}

void
PeerFlow::NoteLeaving(UpstreamId aUpstream)
{
  const auto* host = m_state.hosts.FindUpstream(aUpstream);
  if (host == nullptr || host->state != HostState::Live) {
    return;
  }
  m_seenLeaving[aUpstream] = m_state.now;
  auto leaving = *host;
  leaving.state = HostState::Leaving;
  leaving.revision |= 1;
  LearnHost(leaving, std::nullopt);
}

void
PeerFlow::Take(const HostsRead& aEvent)
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
    const auto seen = m_seenLeaving.find(UpstreamId(hash));
    const bool held = !router && entry.state == HostState::Live &&
                      seen != m_seenLeaving.end() &&
                      m_state.now - seen->second < kLeavingHold;
    if (!held) {
      LearnHost(entry, std::nullopt);
    }
  }
}

void
PeerFlow::Take(const DocumentRead& aEvent)
{
  TakeBody({ aEvent.name, aEvent.revision, aEvent.text }, std::nullopt);
}

void
PeerFlow::TakeBody(const DocumentBody& aBody, std::optional<RouterId> aFrom)
{
  const auto before = m_state.configuration.RevisionOf(aBody.name);
  const auto outcome = m_state.configuration.Offer(aBody);
  m_state.Expect(m_state.configuration.RevisionOf(aBody.name) >= before,
                 "a document was replaced by an older revision");
  if (const auto* refused = std::get_if<DocumentRefused>(&outcome)) {
    m_state.Act(*refused);
  }
  const auto* inForce = std::get_if<DocumentInForce>(&outcome);
  if (inForce == nullptr) {
    return;
  }
  m_state.Act(*inForce);
  m_state.poolsStale = true;
  for (const auto neighbour : Neighbours()) {
    if (neighbour != aFrom) {
      m_state.outbox.For(neighbour).documents.push_back(aBody);
    }
  }
}

void
PeerFlow::TakeVersions(const Frame& aFrame)
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
      m_state.outbox.For(aFrame.sender).documents.push_back(body);
    }
  }
  const bool behind =
    std::any_of(theirs.begin(), theirs.end(), [&](const auto& aOne) {
      return aOne.second > m_state.configuration.RevisionOf(aOne.first);
    });
  if (behind) {
    m_state.outbox.For(aFrame.sender).versions =
      m_state.configuration.Versions();
    if (m_state.configuration.Versions().empty()) {
      m_state.outbox.For(aFrame.sender).wantsSnapshot = true;
    }
  }
}

void
PeerFlow::SendSnapshot(RouterId aRouter)
{
  auto& sent = m_snapshotSent[aRouter];
  if (m_state.now - sent < kRepeatGap) {
    return;
  }
  sent = m_state.now;
  auto& frame = m_state.outbox.For(aRouter);
  frame.members = m_state.membership.Notices();
  frame.hosts = m_state.hosts.All();
  frame.versions = m_state.configuration.Versions();
  frame.crashNews = m_state.quarantine.TellInTurn(m_state.now);
}

void
PeerFlow::CompareDigest(const Frame& aFrame)
{
  const auto neighbours = Neighbours();
  const bool near =
    std::find(neighbours.begin(), neighbours.end(), aFrame.sender) !=
    neighbours.end();
  if (!near) {
    m_digestMisses.erase(aFrame.sender);
    return;
  }
  auto& misses = m_digestMisses[aFrame.sender];
  misses.state = aFrame.digest == m_state.Digest() ? 0 : misses.state + 1;
  const auto members = m_state.membership.Digest();
  misses.members = aFrame.membersDigest == members ? 0 : misses.members + 1;
  if (misses.members >= kMissesToResync) {
    misses.members = 0;
    m_state.outbox.For(aFrame.sender).members = m_state.membership.Notices();
  }
  if (misses.state >= kMissesToResync) {
    misses.state = 0;
    SendSnapshot(aFrame.sender);
  }
}

void
PeerFlow::Take(const LinkLost& aEvent)
{
  m_state.membership.LinkLost(aEvent.router, m_state.Round());
}

void
PeerFlow::Tick()
{
  const auto round = m_state.Round();
  for (const auto& notice :
       m_state.membership.CallDead(m_state.now, round * kMissedRounds)) {
    m_state.owner.ForgetRouter(notice.router);
    Flood(notice, std::nullopt);
    NoteMember(notice);
  }
  for (const auto neighbour : Neighbours()) {
    const auto silent = m_state.now - m_lastHeartbeat[neighbour];
    const bool urgent = silent >= kUrgentGap &&
                        m_state.outbox.HasRoom(kBareHeartbeatBytes) &&
                        m_state.view.HasUrgentFor(neighbour);
    if (silent >= round || urgent) {
      Heartbeat(neighbour);
    }
  }
  if (m_state.now - m_lastRenewal >= m_state.LeaseRound()) {
    m_lastRenewal = m_state.now;
    m_slots.Renew();
  }
  const bool alone = m_state.membership.AliveCount() == 1;
  const auto probePeriod = alone ? kJoinProbePeriod : kRejoinProbePeriod;
  if (m_state.now - m_lastProbe >= probePeriod) {
    m_lastProbe = m_state.now;
    ProbeSomeone();
  }
  if (m_state.now - m_lastLoadPoll >= kLoadPollPeriod) {
    m_lastLoadPoll = m_state.now;
    m_slots.PollLoads();
  }
  ReportWatching();
}

void
PeerFlow::Heartbeat(RouterId aNeighbour)
{
  auto& frame = m_state.outbox.For(aNeighbour);
  m_state.outbox.MarkHeartbeat(aNeighbour);
  m_lastHeartbeat[aNeighbour] = m_state.now;
  frame.hints = m_slots.HintsFor(aNeighbour);
  const auto round = m_state.Round();
  const double seconds = std::chrono::duration<double>(round).count();
  const auto links = static_cast<double>(Neighbours().size());
  const double room = kSendBytesPerSecond * kHeartbeatPart * seconds / links;
  const auto most = static_cast<std::size_t>(
    std::max(1.0, (room - kBareHeartbeatBytes) / kEntryBytes));
  const bool toParent = m_state.membership.Place().parent == aNeighbour;
  if (toParent) {
    frame.up = m_state.view.PickUp(aNeighbour, m_state.now, 2 * round, most);
    return;
  }
  frame.down = m_state.view.PickDown(aNeighbour, m_state.now, 2 * round, most);
}

void
PeerFlow::ProbeSomeone()
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
    auto& frame = m_state.outbox.For(router);
    frame.hosts = { m_state.settings.self };
    frame.members = { m_state.membership.Own() };
    if (alone) {
      frame.wantsSnapshot = true;
      frame.versions = m_state.configuration.Versions();
    }
    return;
  }
  if (!alone) {
    return;
  }
  for (const auto& seed : m_state.settings.seeds) {
    auto frame = m_state.outbox.ToSeed(m_state.membership.Own().incarnation);
    frame.hosts = { m_state.settings.self };
    m_state.Act(SendFrame{ RouterId{}, seed, std::move(frame) });
  }
}

void
PeerFlow::ReportWatching()
{
  const bool watches = m_state.membership.WatchesPlatform();
  if (m_watching != watches) {
    m_watching = watches;
    m_state.Act(WatchPlatform{ watches });
  }
}

void
PeerFlow::Wake()
{
  m_heard = false;
  m_state.membership.ForgiveSilence(m_state.now);
  m_watching.reset();
  m_lastHeartbeat.clear();
  m_lastProbe = m_state.now - kRejoinProbePeriod;
}

void
PeerFlow::Leave()
{
  m_state.membership.Leave();
  Flood(m_state.membership.Own(), std::nullopt);
}

void
PeerFlow::Flush()
{
  for (const auto router : m_state.outbox.Waiting()) {
    const auto* host = m_state.hosts.FindRouter(router);
    if (host == nullptr) {
      m_state.outbox.Drop(router);
      continue;
    }
    Frame frame;
    if (m_state.outbox.Take(router,
                            m_state.membership.Own().incarnation,
                            m_state.Digest(),
                            m_state.membership.Digest(),
                            frame)) {
      m_state.Act(SendFrame{ router, host->peerAddress, std::move(frame) });
    }
  }
}

}
