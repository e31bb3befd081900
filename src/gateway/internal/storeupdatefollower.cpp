#include "gateway/storeupdatefollower.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "gateway/storeupdatecodec.h"

namespace hemlockgauge::gateway {

namespace {

using namespace std::chrono_literals;

//! Delay between two attempts to connect to the same router. A starting process
//! listens after a few of these.
constexpr base::Duration kReconnectDelay = 40ms;

}

StoreUpdateFollower::StoreUpdateFollower(eventloop::EventLoop& aLoop,
                                         const base::Address& aRouter,
                                         IStoreUpdateEvents& aEvents,
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

StoreUpdateFollower::~StoreUpdateFollower()
{
  if (m_connection) {
    m_connection->Close();
    m_loop.DeleteLater(std::move(m_connection));
  }
}

void
StoreUpdateFollower::Tick(base::TimePoint aNow)
{
  if (!m_connection && aNow >= m_nextConnectAt) {
    Connect();
  }
}

base::TimePoint
StoreUpdateFollower::NextTickAt() const
{
  return m_connection ? base::TimePoint::max() : m_nextConnectAt;
}

bool
StoreUpdateFollower::IsReceivingAnswer() const
{
  return m_connection && m_connection->HasPartialFrame();
}

void
StoreUpdateFollower::Connect()
{
  m_nextConnectAt = m_loop.Now() + kReconnectDelay;
  m_connection = std::make_unique<framing::FrameConnection>(
    m_loop, m_router, kMaxStoreUpdateBytes, *this);
  SendRequest();
}

void
StoreUpdateFollower::SendRequest()
{
  m_requestedAt = m_loop.Now();
  auto request = m_knownState();
  request.incarnation = m_sourceIncarnation;
  request.sequence = m_sequence;
  m_connection->Send(EncodeStoreUpdate(request));
}

void
StoreUpdateFollower::OnFrame(framing::FrameConnection&,
                             const std::vector<std::uint8_t>& aFrame)
{
  const auto message = DecodeStoreUpdate(aFrame);
  const auto* update = std::get_if<fleet::StoreUpdate>(&message);
  if (update == nullptr) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "request from a source router, expected a store update");
  }
  if (update->state != fleet::StoreUpdateState::Proven) {
    m_onPending();
  }
  if (update->state == fleet::StoreUpdateState::Pending) {
    return; // the request is still waiting for its answer
  }
  HandleUpdate(*update);
  SendRequest();
}

void
StoreUpdateFollower::HandleUpdate(const fleet::StoreUpdate& aUpdate)
{
  m_sourceIncarnation = aUpdate.incarnation;
  m_sequence = aUpdate.sequence;
  if (aUpdate.state == fleet::StoreUpdateState::Unproven) {
    m_events.OnUpstreamsListed(aUpdate.upstreams);
    return;
  }
  //! NOTE the response may have been delayed in a buffer, so the confirmation
  //! time is computed from the time of the request: the router answered at
  //! least aUpdate.waited later.
  const auto provenAt = m_requestedAt + aUpdate.waited - aUpdate.proofAge;
  m_events.OnStoreReached(provenAt);
  if (!aUpdate.config.empty()) {
    m_events.OnConfigStored(aUpdate.config);
  }
  if (aUpdate.isFullList) {
    m_events.OnUpstreamsListed(aUpdate.upstreams);
  } else {
    for (const auto& entry : aUpdate.upstreams) {
      m_events.OnUpstreamChanged(entry);
    }
    for (const auto& id : aUpdate.removed) {
      m_events.OnUpstreamRemoved(id);
    }
  }
  if (aUpdate.evacuations) {
    m_events.OnEvacuationsListed(*aUpdate.evacuations);
  }
  m_events.OnProven(provenAt);
  m_onAnswer(aUpdate.proofAge);
}

void
StoreUpdateFollower::OnLost(framing::FrameConnection&)
{
  m_loop.DeleteLater(std::move(m_connection));
}

}
