#include "decision/internal/outbox.h"

#include "decision/decisionconstants.h"
#include "decision/decisioncore.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

// Encoded sizes in FlatBuffers; a test compares them with real frames.
constexpr std::size_t kFrameBytes = 64;
constexpr std::size_t kVectorBytes = 16;
constexpr std::size_t kMemberBytes = 12;
constexpr std::size_t kHostBytes = 90;
constexpr std::size_t kVersionBytes = 34;
constexpr std::size_t kDocumentBytes = 84;
constexpr std::size_t kDemandBytes = 12;
constexpr std::size_t kHintBytes = 8;
constexpr std::size_t kReportBytes = 20;
constexpr std::size_t kGrantBytes = 12;
constexpr std::size_t kCrashBytes = 16;
constexpr std::size_t kClearanceBytes = 12;

template<typename Vector>
std::size_t
VectorBytes(const Vector& aVector, std::size_t aElementBytes)
{
  return aVector.empty() ? 0 : kVectorBytes + aVector.size() * aElementBytes;
}

//! Whether a frame is sent regardless of the budget: changes of members, hosts
//! and documents and crash reports must reach all routers in time.
bool
IsUrgent(const Frame& aFrame)
{
  return !aFrame.members.empty() || !aFrame.hosts.empty() ||
         !aFrame.documents.empty() || !aFrame.versions.empty() ||
         aFrame.wantsSnapshot || !aFrame.crashUpdates.IsEmpty();
}

}

std::size_t
EstimateFrameBytes(const Frame& aFrame)
{
  std::size_t bytes = kPacketOverheadBytes + kFrameBytes;
  bytes += VectorBytes(aFrame.members, kMemberBytes);
  bytes += VectorBytes(aFrame.versions, kVersionBytes);
  bytes += VectorBytes(aFrame.subtreeDemand, kDemandBytes);
  bytes += VectorBytes(aFrame.fleetTotals, kDemandBytes);
  bytes += VectorBytes(aFrame.hints, kHintBytes);
  bytes += VectorBytes(aFrame.reports, kReportBytes);
  bytes += VectorBytes(aFrame.grants, kGrantBytes);
  bytes += VectorBytes(aFrame.crashUpdates.crashes, kCrashBytes);
  bytes += VectorBytes(aFrame.crashUpdates.clearances, kClearanceBytes);
  for (const auto& host : aFrame.hosts) {
    bytes += kHostBytes + host.name.size() + host.zone.size() +
             host.pool.size() + host.address.ip.size() +
             host.peerAddress.ip.size();
  }
  for (const auto& version : aFrame.versions) {
    bytes += version.name.size();
  }
  for (const auto& document : aFrame.documents) {
    bytes += kDocumentBytes + document.name.size() + document.text.size();
  }
  return bytes;
}

Outbox::Outbox(RouterId aSelf, std::uint32_t aBoot, ControlCounters& aCounters)
  : m_self(aSelf)
  , m_boot(aBoot)
  , m_counters(aCounters)
{
}

Frame&
Outbox::FrameFor(RouterId aRouter)
{
  auto& pending = m_pending[aRouter];
  if (pending.order == 0) {
    pending.order = m_nextOrder++;
  }
  return pending.frame;
}

void
Outbox::Drop(RouterId aRouter)
{
  m_pending.erase(aRouter);
  m_heartbeatRouters.erase(aRouter);
  m_deferredRouters.erase(aRouter);
}

std::vector<RouterId>
Outbox::PendingRouters() const
{
  std::vector<std::pair<std::uint64_t, RouterId>> ordered;
  ordered.reserve(m_pending.size());
  for (const auto& [router, pending] : m_pending) {
    ordered.emplace_back(pending.order, router);
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<RouterId> routers;
  routers.reserve(ordered.size());
  for (const auto& [order, router] : ordered) {
    routers.push_back(router);
  }
  return routers;
}

bool
Outbox::TakeFrame(RouterId aRouter,
                  std::uint32_t aIncarnation,
                  std::uint32_t aDigest,
                  std::uint32_t aMembersDigest,
                  Frame& aFrame)
{
  const auto found = m_pending.find(aRouter);
  if (found == m_pending.end()) {
    return false;
  }
  const auto bytes = EstimateFrameBytes(found->second.frame);
  const bool urgent =
    m_heartbeatRouters.contains(aRouter) || IsUrgent(found->second.frame);
  if (!urgent && !m_budget.Allows(bytes)) {
    m_counters.framesDeferred +=
      m_deferredRouters.insert(aRouter).second ? 1 : 0;
    return false;
  }
  aFrame = std::move(found->second.frame);
  Drop(aRouter);
  aFrame.sender = m_self;
  aFrame.incarnation = aIncarnation;
  aFrame.digest = aDigest;
  aFrame.membersDigest = aMembersDigest;
  aFrame.boot = m_boot;
  aFrame.sequence = ++m_sequence;
  m_budget.Charge(bytes);
  CountSent(aFrame);
  return true;
}

Frame
Outbox::MakeSeedFrame(std::uint32_t aIncarnation)
{
  Frame frame;
  frame.sender = m_self;
  frame.incarnation = aIncarnation;
  frame.boot = m_boot;
  frame.sequence = ++m_sequence;
  frame.wantsSnapshot = true;
  CountSent(frame);
  return frame;
}

void
Outbox::CountSent(const Frame& aFrame)
{
  m_counters.framesSent++;
  m_counters.bytesSent += EstimateFrameBytes(aFrame);
}

}
