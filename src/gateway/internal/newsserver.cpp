#include "gateway/newsserver.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "fleet/fleetconstants.h"
#include "gateway/newscodec.h"

namespace hemlockgauge::gateway {

namespace {

//! Over a group's size several times; strangers are turned away beyond.
constexpr std::size_t kMostFollowers = 256;

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
  if (m_log.HasNews(*ask)) {
    Answer(follower);
  }
}

void
NewsServer::Answer(Follower& aFollower)
{
  const auto news = m_log.Answer(*aFollower.ask, m_proofAge());
  aFollower.ask.reset();
  aFollower.connection->Send(EncodeNews(news));
}

void
NewsServer::Tick(base::TimePoint aNow)
{
  std::vector<framing::FrameConnection*> due;
  for (const auto& [key, follower] : m_followers) {
    const bool waits = follower.ask.has_value();
    if (waits && (m_log.HasNews(*follower.ask) ||
                  aNow - follower.askedAt >= fleet::kNewsWait)) {
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
