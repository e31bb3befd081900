#include "peer/internal/tcppeertransport.h"

#include "base/error.h"
#include "base/logline.h"
#include "peer/internal/incominglink.h"
#include "peer/internal/outgoinglink.h"
#include "timer/itimerservice.h"
#include "wire/framecodec.h"

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>

namespace hemlockgauge::peer {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kTimeoutCheckInterval = 200ms;
constexpr base::Duration kIdleTimeout = 60000ms;
constexpr std::size_t kMaxIncomingLinks = 2048;
constexpr int kBacklog = 512;

}

TcpPeerTransport::TcpPeerTransport(ACE_Reactor& aReactor,
                                   timer::ITimerService& aTimers)
  : m_reactor(aReactor)
  , m_timers(aTimers)
{
}

TcpPeerTransport::~TcpPeerTransport()
{
  TcpPeerTransport::Close();
}

void
TcpPeerTransport::Listen(const base::Address& aAddress,
                         FrameHandler aOnFrame,
                         LinkLostHandler aOnLinkLost)
{
  m_onFrame = std::move(aOnFrame);
  m_onLinkLost = std::move(aOnLinkLost);
  const ACE_INET_Addr address(aAddress.port, aAddress.ip.c_str());
  if (m_acceptor.open(address, 1, PF_INET, kBacklog) == -1) {
    throw base::Error(base::ErrorCode::Unreachable,
                      "cannot listen for peer routers on " + aAddress.Text());
  }
  m_acceptor.enable(ACE_NONBLOCK);
  m_reactor.register_handler(this, ACCEPT_MASK);
  m_listening = true;
  m_timers.SchedulePeriodic(kTimeoutCheckInterval,
                            [this] { EnforceTimeouts(); });
}

ACE_HANDLE
TcpPeerTransport::get_handle() const
{
  return m_acceptor.get_handle();
}

int
TcpPeerTransport::handle_input(ACE_HANDLE)
{
  const auto onFrame = [this](const std::vector<std::uint8_t>& aBytes) {
    auto frame = wire::DecodeFrame(aBytes);
    m_onFrame(std::move(frame), aBytes.size());
  };
  const auto onBadFrame = [this] {
    m_badFrames++;
    base::LogLine("bad-frame").Add("count", m_badFrames).Warn();
  };
  auto link = std::make_unique<IncomingLink>(m_reactor, onFrame, onBadFrame);
  const ACE_Time_Value noWait(0, 0);
  ACE_Time_Value timeout = noWait;
  if (m_acceptor.accept(link->Stream(), nullptr, &timeout) == -1) {
    return 0;
  }
  if (m_incoming.size() >= kMaxIncomingLinks || !link->Open()) {
    link->Stream().close();
    return 0;
  }
  m_incoming.push_back(std::move(link));
  return 0;
}

void
TcpPeerTransport::Send(decision::RouterId aRouter,
                       const base::Address& aAddress,
                       const decision::Frame& aFrame)
{
  auto& link = m_outgoing[aAddress.Text()];
  if (!link) {
    link = std::make_unique<OutgoingLink>(
      m_reactor, aAddress, [this, aRouter] { m_onLinkLost(aRouter); });
  }
  link->Send(framing::AddLengthPrefix(wire::EncodeFrame(aFrame)),
             m_timers.Now());
}

void
TcpPeerTransport::EnforceTimeouts()
{
  const auto now = m_timers.Now();
  for (auto& [address, link] : m_outgoing) {
    link->EnforceTimeouts(now);
  }
  std::erase_if(m_outgoing, [&](const auto& aOne) {
    return aOne.second->IsIdleSince(now - kIdleTimeout);
  });
  std::erase_if(m_incoming,
                [](const auto& aLink) { return aLink->IsClosed(); });
}

void
TcpPeerTransport::Close()
{
  if (m_listening) {
    m_reactor.remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
    m_acceptor.close();
    m_listening = false;
  }
  m_outgoing.clear();
  for (auto& link : m_incoming) {
    link->Close();
  }
  m_incoming.clear();
}

}
