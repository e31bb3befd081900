#include "gateway/storeupdateserver.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "fleet/fleetconstants.h"
#include "gateway/storeupdatecodec.h"
#include "metrics/metrics.h"

#include <algorithm>

namespace hemlockgauge::gateway {

namespace {

//! Maximum number of followers. Larger than a fleet, since all routers that
//! start at the same time may ask the same seed.
constexpr std::size_t kMaxFollowers = 512;
//! Maximum number of followers that receive the full list at the same time.
//! Each uses memory for a copy until it has read it.
constexpr std::size_t kMaxFullListTransfers = 8;

}

StoreUpdateServer::StoreUpdateServer(eventloop::EventLoop& aLoop,
                                     const base::Address& aListen,
                                     const fleet::StoreChangeLog& aLog,
                                     ProofAge aProofAge,
                                     ExpectsList aExpectsList,
                                     metrics::Metrics& aMetrics)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_proofAge(std::move(aProofAge))
  , m_expectsList(std::move(aExpectsList))
  , m_metrics(aMetrics)
  , m_listener(aLoop, aListen, [this](const ACE_SOCK_Stream& aStream) {
    Accept(aStream);
  })
{
}

StoreUpdateServer::~StoreUpdateServer() = default;

void
StoreUpdateServer::Accept(const ACE_SOCK_Stream& aStream)
{
  if (m_followers.size() >= kMaxFollowers) {
    ACE_SOCK_Stream refused(aStream);
    refused.close();
    return;
  }
  auto connection = std::make_unique<framing::FrameConnection>(
    m_loop, aStream, kMaxStoreUpdateBytes, *this);
  auto* key = connection.get();
  m_followers[key].connection = std::move(connection);
}

void
StoreUpdateServer::OnFrame(framing::FrameConnection& aConnection,
                           const std::vector<std::uint8_t>& aFrame)
{
  const auto found = m_followers.find(&aConnection);
  if (found == m_followers.end()) {
    return;
  }
  const auto message = DecodeStoreUpdate(aFrame);
  const auto* request = std::get_if<fleet::StoreUpdateRequest>(&message);
  if (request == nullptr) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "store update from a follower, expected a request");
  }
  auto& follower = found->second;
  follower.request = *request;
  follower.requestedAt = m_loop.Now();
  follower.receivesFullList = false;
  if (IsDue(follower, follower.requestedAt)) {
    SendUpdate(follower);
  } else {
    SendPending(follower, follower.requestedAt);
  }
}

bool
StoreUpdateServer::MaySendFullList() const
{
  const auto receiving =
    std::count_if(m_followers.begin(), m_followers.end(), [](const auto& aOne) {
      return aOne.second.receivesFullList &&
             aOne.second.connection->HasUnsentBytes();
    });
  return static_cast<std::size_t>(receiving) < kMaxFullListTransfers;
}

//! Tells a follower that waits for the full list to keep waiting.
//! Without this, all followers that have no content yet would read the store at
//! once.
void
StoreUpdateServer::SendPending(Follower& aFollower, base::TimePoint aNow)
{
  const bool isExpected = m_log.IsKnown() || m_expectsList();
  const bool waitsForFullList =
    aFollower.request && m_log.NeedsFullList(*aFollower.request);
  if (!waitsForFullList || !isExpected ||
      aNow - aFollower.pendingSentAt < fleet::kPendingInterval) {
    return;
  }
  aFollower.pendingSentAt = aNow;
  fleet::StoreUpdate update;
  update.state = fleet::StoreUpdateState::Pending;
  Send(aFollower,
       EncodeStoreUpdate(update),
       "news_bytes_sent_total{kind=\"pending\"}");
}

void
StoreUpdateServer::Send(Follower& aFollower,
                        const std::vector<std::uint8_t>& aFrame,
                        const char* aCounter)
{
  m_metrics.Count(aCounter, aFrame.size());
  aFollower.connection->Send(aFrame);
}

//! Sends the full list, which is encoded once for all followers until the next
//! change.
void
StoreUpdateServer::SendFullList(Follower& aFollower)
{
  if (m_fullListSequence != m_log.Sequence()) {
    m_fullList = EncodeStoreUpdate(m_log.FullList());
    m_fullListSequence = m_log.Sequence();
  }
  aFollower.receivesFullList = true;
  aFollower.request.reset();
  Send(aFollower, m_fullList, "news_bytes_sent_total{kind=\"all\"}");
}

bool
StoreUpdateServer::IsDue(const Follower& aFollower, base::TimePoint aNow) const
{
  if (!aFollower.request || !m_log.IsKnown()) {
    return false;
  }
  if (m_log.NeedsFullList(*aFollower.request)) {
    return MaySendFullList();
  }
  return m_log.HasUpdateFor(*aFollower.request) ||
         aNow - m_proofAge() >=
           aFollower.sentProvenAt + fleet::kProofPushInterval ||
         aNow - aFollower.requestedAt >= fleet::kNewsPollTimeout;
}

void
StoreUpdateServer::SendUpdate(Follower& aFollower)
{
  if (m_log.NeedsFullList(*aFollower.request)) {
    SendFullList(aFollower);
    return;
  }
  auto update = m_log.Answer(*aFollower.request, m_proofAge());
  update.waited = m_loop.Now() - aFollower.requestedAt;
  aFollower.request.reset();
  aFollower.sentProvenAt = m_loop.Now() - update.proofAge;
  Send(aFollower,
       EncodeStoreUpdate(update),
       "news_bytes_sent_total{kind=\"changes\"}");
}

void
StoreUpdateServer::Tick(base::TimePoint aNow)
{
  std::vector<framing::FrameConnection*> waiting;
  for (const auto& [key, follower] : m_followers) {
    if (follower.request) {
      waiting.push_back(key);
    }
  }
  for (auto* key : waiting) {
    const auto found = m_followers.find(key);
    if (found == m_followers.end()) {
      continue;
    }
    if (IsDue(found->second, aNow)) {
      SendUpdate(found->second);
    } else {
      SendPending(found->second, aNow);
    }
  }
}

void
StoreUpdateServer::OnLost(framing::FrameConnection& aConnection)
{
  const auto found = m_followers.find(&aConnection);
  if (found == m_followers.end()) {
    return;
  }
  m_loop.DeleteLater(std::move(found->second.connection));
  m_followers.erase(found);
}

}
