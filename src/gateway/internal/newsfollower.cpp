#include "gateway/newsfollower.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "gateway/newscodec.h"

namespace hemlockgauge::gateway {

namespace {

using namespace std::chrono_literals;

//! Delay between two attempts to connect to the same router. A starting process
//! listens after a few of these.
constexpr base::Duration kReconnectDelay = 40ms;

}

NewsFollower::NewsFollower(eventloop::EventLoop& aLoop,
                           const base::Address& aRouter,
                           INewsEvents& aEvents,
                           KnownState aKnownState,
                           OnAnswer aOnAnswer,
                           OnPending aOnPending)
  : m_loop(aLoop)
  , m_router(aRouter)
  , m_events(aEvents)
  , m_knownState(std::move(aKnownState))
  , m_onAnswer(std::move(aOnAnswer))
  , m_onPending(std::move(aOnPending))
{
}

NewsFollower::~NewsFollower()
{
  if (m_connection) {
    m_connection->Close();
    m_loop.DeleteLater(std::move(m_connection));
  }
}

void
NewsFollower::Tick(base::TimePoint aNow)
{
  if (!m_connection && aNow >= m_nextConnectAt) {
    Connect();
  }
}

void
NewsFollower::Connect()
{
  m_nextConnectAt = m_loop.Now() + kReconnectDelay;
  m_connection = std::make_unique<framing::FrameConnection>(
    m_loop, m_router, kMaxNewsBytes, *this);
  SendAsk();
}

void
NewsFollower::SendAsk()
{
  m_requestedAt = m_loop.Now();
  auto ask = m_knownState();
  ask.life = m_sourceIncarnation;
  ask.sequence = m_sequence;
  m_connection->Send(EncodeNews(ask));
}

void
NewsFollower::OnFrame(framing::FrameConnection&,
                      const std::vector<std::uint8_t>& aFrame)
{
  const auto message = DecodeNews(aFrame);
  const auto* news = std::get_if<fleet::News>(&message);
  if (news == nullptr) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "source router sent Ask, expected News");
  }
  if (news->state != fleet::NewsState::Proven) {
    m_onPending();
  }
  if (news->state == fleet::NewsState::Pending) {
    return; // the request is still waiting for its answer
  }
  HandleNews(*news);
  SendAsk();
}

void
NewsFollower::HandleNews(const fleet::News& aNews)
{
  m_sourceIncarnation = aNews.life;
  m_sequence = aNews.sequence;
  if (aNews.state == fleet::NewsState::Unproven) {
    m_events.OnListed(aNews.upstreams);
    return;
  }
  //! NOTE the response may have been delayed in a buffer, so the confirmation
  //! time is computed from the time of the request: the router answered at
  //! least aNews.waited later.
  const auto provenAt = m_requestedAt + aNews.waited - aNews.proofAge;
  m_events.OnStoreReached(provenAt);
  if (!aNews.config.empty()) {
    m_events.OnStoredConfig(aNews.config);
  }
  if (aNews.full) {
    m_events.OnListed(aNews.upstreams);
  } else {
    for (const auto& entry : aNews.upstreams) {
      m_events.OnUpstream(entry);
    }
    for (const auto& id : aNews.removed) {
      m_events.OnRemoved(id);
    }
  }
  if (aNews.evacuations) {
    m_events.OnEvacuations(*aNews.evacuations);
  }
  m_events.OnProven(provenAt);
  m_onAnswer(aNews.proofAge);
}

void
NewsFollower::OnLost(framing::FrameConnection&)
{
  m_loop.DeleteLater(std::move(m_connection));
}

}
