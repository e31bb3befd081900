#include "soak/rawcaller.h"

#include "eventloop/eventloop.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace hemlockgauge::soak {

namespace {

constexpr std::size_t kReadBytes = 16384;
constexpr std::size_t kMaxFirstBytes = 512;

}

RawCaller::RawCaller(eventloop::EventLoop& aLoop,
                     const base::Address& aRouter,
                     std::string aText,
                     Reading aReading)
  : m_loop(aLoop)
  , m_text(std::move(aText))
  , m_reading(aReading)
{
  const ACE_INET_Addr address(aRouter.port, aRouter.ip.c_str());
  ACE_SOCK_Connector connector;
  const ACE_Time_Value noWait(0, 0);
  const int result = connector.connect(m_stream, address, &noWait);
  if (result == -1 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
    return;
  }
  m_stream.enable(ACE_NONBLOCK);
  m_isOpen = true;
  m_loop.Add(m_stream.get_handle(), *this, EPOLLOUT);
}

RawCaller::~RawCaller()
{
  Close();
}

void
RawCaller::Close()
{
  if (m_isOpen) {
    m_isOpen = false;
    m_loop.Remove(m_stream.get_handle());
    m_stream.close();
  }
}

void
RawCaller::OnIo(std::uint32_t aEvents)
{
  if ((aEvents & EPOLLOUT) != 0) {
    Send();
  }
  if (m_isOpen && (aEvents & ~EPOLLOUT) != 0) {
    Receive();
  }
  UpdateWatchedEvents();
}

void
RawCaller::Send()
{
  while (m_sent < m_text.size()) {
    const auto sent =
      m_stream.send(m_text.data() + m_sent, m_text.size() - m_sent);
    if (sent <= 0) {
      const bool isBroken = errno != EWOULDBLOCK && errno != EINTR;
      if (isBroken) {
        Close();
      }
      return;
    }
    m_sent += static_cast<std::size_t>(sent);
  }
}

void
RawCaller::Receive()
{
  std::array<char, kReadBytes> buffer;
  const auto received = m_stream.recv(buffer.data(), buffer.size());
  if (received > 0) {
    const auto size = std::min(static_cast<std::size_t>(received),
                               kMaxFirstBytes - m_firstBytes.size());
    m_firstBytes.append(buffer.data(), size);
  } else if (received == 0 || (errno != EWOULDBLOCK && errno != EINTR)) {
    Close();
  }
}

void
RawCaller::UpdateWatchedEvents()
{
  if (!m_isOpen) {
    return;
  }
  std::uint32_t events = m_reading == Reading::On ? EPOLLIN : 0U;
  events |= m_sent < m_text.size() ? EPOLLOUT : 0U;
  m_loop.Modify(m_stream.get_handle(), events);
}

}
