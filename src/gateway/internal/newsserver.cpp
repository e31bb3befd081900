#include "gateway/newsserver.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "fleet/fleetconstants.h"
#include "gateway/newscodec.h"

namespace hemlockgauge::gateway {

namespace {

//! Over a fleet's size: all that start at once may ask the same seed.
constexpr std::size_t kMostFollowers = 512;

}

NewsServer::NewsServer(eventloop::EventLoop& aLoop,
                       const base::Address& aListen,
                       const fleet::NewsLog& aLog,
                       ProofAge aProofAge)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_proofAge(std::move(aProofAge))
  , m_listener(aLoop, aListen, [this](const ACE_SOCK_Stream& aStream) {
    Accept(aStream);
  })
{
}

NewsServer::~NewsServer() = default;

void
NewsServer::Accept(const ACE_SOCK_Stream& aStream)
{
  if (m_followers.size() >= kMostFollowers) {
    ACE_SOCK_Stream refused(aStream);
    refused.close();
    return;
  }
  auto connection = std::make_unique<framing::FrameConnection>(
    m_loop, aStream, kMostNewsBytes, *this);
  auto* key = connection.get();
  m_followers[key].connection = std::move(connection);
}

void
NewsServer::OnFrame(framing::FrameConnection& aConnection,
                    const std::vector<std::uint8_t>& aFrame)
{
  const auto found = m_followers.find(&aConnection);
  if (found == m_followers.end()) {
    return;
  }
  const auto message = DecodeNews(aFrame);
  const auto* ask = std::get_if<fleet::NewsAsk>(&message);
  if (ask == nullptr) {
    throw base::Error(base::ErrorCode::BadFrame, "news from a follower");
  }
  auto& follower = found->second;
  follower.ask = *ask;
  follower.askedAt = m_loop.Now();
  if (IsDue(follower, follower.askedAt)) {
    Answer(follower);
  }
}

bool
NewsServer::IsDue(const Follower& aFollower, base::TimePoint aNow) const
{
  if (!aFollower.ask || !m_log.IsKnown()) {
    return false;
  }
  return m_log.HasNews(*aFollower.ask) ||
         aNow - m_proofAge() >= aFollower.provenAt + fleet::kProofStep ||
         aNow - aFollower.askedAt >= fleet::kNewsWait;
}

void
NewsServer::Answer(Follower& aFollower)
{
  auto news = m_log.Answer(*aFollower.ask, m_proofAge());
  news.waited = m_loop.Now() - aFollower.askedAt;
  aFollower.ask.reset();
  aFollower.provenAt = m_loop.Now() - news.proofAge;
  aFollower.connection->Send(EncodeNews(news));
}

void
NewsServer::Tick(base::TimePoint aNow)
{
  std::vector<framing::FrameConnection*> due;
  for (const auto& [key, follower] : m_followers) {
    if (IsDue(follower, aNow)) {
      due.push_back(key);
    }
  }
  for (auto* key : due) {
    const auto found = m_followers.find(key);
    if (found != m_followers.end()) {
      Answer(found->second);
    }
  }
}

void
NewsServer::OnLost(framing::FrameConnection& aConnection)
{
  const auto found = m_followers.find(&aConnection);
  if (found == m_followers.end()) {
    return;
  }
  m_loop.DeleteLater(std::move(found->second.connection));
  m_followers.erase(found);
}

}
