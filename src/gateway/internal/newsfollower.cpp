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
  SendRequest();
}

void
NewsFollower::SendRequest()
{
  m_requestedAt = m_loop.Now();
  auto request = m_knownState();
  request.life = m_sourceIncarnation;
  request.sequence = m_sequence;
  m_connection->Send(EncodeNews(request));
}

void
NewsFollower::OnFrame(framing::FrameConnection&,
                      const std::vector<std::uint8_t>& aFrame)
{
  const auto message = DecodeNews(aFrame);
  const auto* update = std::get_if<fleet::News>(&message);
  if (update == nullptr) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "request from a source router, expected a store update");
  }
  if (update->state != fleet::NewsState::Proven) {
    m_onPending();
  }
  if (update->state == fleet::NewsState::Pending) {
    return; // the request is still waiting for its answer
  }
  HandleUpdate(*update);
  SendRequest();
}

void
NewsFollower::HandleUpdate(const fleet::News& aUpdate)
{
  m_sourceIncarnation = aUpdate.life;
  m_sequence = aUpdate.sequence;
  if (aUpdate.state == fleet::NewsState::Unproven) {
    m_events.OnListed(aUpdate.upstreams);
    return;
  }
  //! NOTE the response may have been delayed in a buffer, so the confirmation
  //! time is computed from the time of the request: the router answered at
  //! least aUpdate.waited later.
  const auto provenAt = m_requestedAt + aUpdate.waited - aUpdate.proofAge;
  m_events.OnStoreReached(provenAt);
  if (!aUpdate.config.empty()) {
    m_events.OnStoredConfig(aUpdate.config);
  }
  if (aUpdate.full) {
    m_events.OnListed(aUpdate.upstreams);
  } else {
    for (const auto& entry : aUpdate.upstreams) {
      m_events.OnUpstream(entry);
    }
    for (const auto& id : aUpdate.removed) {
      m_events.OnRemoved(id);
    }
  }
  if (aUpdate.evacuations) {
    m_events.OnEvacuations(*aUpdate.evacuations);
  }
  m_events.OnProven(provenAt);
  m_onAnswer(aUpdate.proofAge);
}

void
NewsFollower::OnLost(framing::FrameConnection&)
{
  m_loop.DeleteLater(std::move(m_connection));
}

}
