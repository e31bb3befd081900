#include "peer/internal/outgoinglink.h"

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>

#include <netinet/tcp.h>

#include <array>
#include <cerrno>

namespace hemlockgauge::peer {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kAcknowledgeTimeout = 2000ms;
constexpr base::Duration kReconnectDelay = 300ms;
constexpr std::size_t kMaxPendingFrames = 64;

}

OutgoingLink::OutgoingLink(ACE_Reactor& aReactor,
                           base::Address aAddress,
                           std::function<void()> aOnLost)
  : m_reactor(aReactor)
  , m_address(std::move(aAddress))
  , m_onLost(std::move(aOnLost))
{
}

OutgoingLink::~OutgoingLink()
{
  Close();
}

ACE_HANDLE
OutgoingLink::get_handle() const
{
  return m_stream.get_handle();
}

void
OutgoingLink::Send(std::vector<std::uint8_t> aBytes, base::TimePoint aNow)
{
  if (m_pendingFrames.size() >= kMaxPendingFrames) {
    return; // the peer is down or slow; later frames repeat the state
  }
  m_lastSend = aNow;
  m_pendingFrames.push_back({ std::move(aBytes), aNow });
  if (!m_open && aNow >= m_retryAt) {
    Connect();
  } else if (m_connected) {
    Write();
  }
}

void
OutgoingLink::Connect()
{
  ACE_INET_Addr address(m_address.port, m_address.ip.c_str());
  ACE_SOCK_Connector connector;
  const ACE_Time_Value noWait(0, 0);
  const int result = connector.connect(m_stream, address, &noWait);
  if (result == -1 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
    HandleLinkLost();
    return;
  }
  m_open = true;
  int one = 1;
  m_stream.set_option(IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  m_stream.enable(ACE_NONBLOCK);
  m_reactor.register_handler(
    this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK);
}

void
OutgoingLink::Close()
{
  if (!m_open) {
    return;
  }
  m_reactor.remove_handler(
    this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
  m_stream.close();
  m_open = false;
  m_connected = false;
  m_nextFrame = 0;
  m_offset = 0;
}

void
OutgoingLink::HandleLinkLost()
{
  Close();
  m_retryAt = m_lastSend + kReconnectDelay;
  m_onLost();
}

void
OutgoingLink::Write()
{
  while (m_nextFrame < m_pendingFrames.size()) {
    const auto& bytes = m_pendingFrames[m_nextFrame].bytes;
    const auto sent =
      m_stream.send(bytes.data() + m_offset, bytes.size() - m_offset);
    if (sent <= 0) {
      if (sent == -1 && errno == EWOULDBLOCK) {
        m_reactor.schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
        return;
      }
      HandleLinkLost();
      return;
    }
    m_offset += static_cast<std::size_t>(sent);
    if (m_offset == bytes.size()) {
      m_nextFrame++;
      m_offset = 0;
    }
  }
  m_reactor.cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

int
OutgoingLink::handle_output(ACE_HANDLE)
{
  m_connected = true;
  Write();
  return 0;
}

int
OutgoingLink::handle_input(ACE_HANDLE)
{
  std::array<std::uint8_t, 256> bytes{};
  const auto got = m_stream.recv(bytes.data(), bytes.size());
  if (got > 0) {
    HandleAcknowledgements(static_cast<std::size_t>(got));
  } else if (got == 0 || errno != EWOULDBLOCK) {
    HandleLinkLost();
  }
  return 0;
}

void
OutgoingLink::HandleAcknowledgements(std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount && m_nextFrame > 0; ++i) {
    m_pendingFrames.pop_front();
    m_nextFrame--;
  }
}

void
OutgoingLink::EnforceTimeouts(base::TimePoint aNow)
{
  if (m_pendingFrames.empty()) {
    return;
  }
  const bool late = aNow - m_pendingFrames.front().sent > kAcknowledgeTimeout;
  if (m_open && !late) {
    return;
  }
  if (!late && aNow < m_retryAt) {
    return;
  }
  if (m_open) {
    HandleLinkLost();
  }
  // Frames older than this are outdated. The others are sent again; the peer
  // drops those that it already has by their sequence number.
  while (!m_pendingFrames.empty() &&
         aNow - m_pendingFrames.front().sent > 2 * kAcknowledgeTimeout) {
    m_pendingFrames.pop_front();
  }
  for (auto& frame : m_pendingFrames) {
    frame.sent = std::max(frame.sent, aNow - kAcknowledgeTimeout);
  }
  if (!m_pendingFrames.empty()) {
    Connect();
  }
}

}
