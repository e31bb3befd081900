#include "framing/frameconnection.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "eventloop/socketoptions.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <sys/epoll.h>

#include <array>
#include <cerrno>

namespace hemlockgauge::framing {

namespace {

constexpr std::size_t kReadBytes = 16384;

}

FrameConnection::FrameConnection(eventloop::EventLoop& aLoop,
                                 const base::Address& aAddress,
                                 std::size_t aMaxFrameBytes,
                                 IFrameEvents& aEvents)
  : m_loop(aLoop)
  , m_events(aEvents)
  , m_buffer(aMaxFrameBytes)
  , m_open(true)
{
  const ACE_INET_Addr address(aAddress.port, aAddress.ip.c_str());
  ACE_SOCK_Connector connector;
  const ACE_Time_Value noWait(0, 0);
  const int result = connector.connect(m_stream, address, &noWait);
  const bool failed =
    result == -1 && errno != EWOULDBLOCK && errno != EINPROGRESS;
  if (failed) {
    m_loop.Defer([this] { CloseAndReport(); });
    return;
  }
  m_stream.enable(ACE_NONBLOCK);
  eventloop::SetPeerOptions(m_stream);
  m_watchedEvents = EPOLLOUT;
  m_loop.Add(m_stream.get_handle(), *this, m_watchedEvents);
}

FrameConnection::FrameConnection(eventloop::EventLoop& aLoop,
                                 const ACE_SOCK_Stream& aStream,
                                 std::size_t aMaxFrameBytes,
                                 IFrameEvents& aEvents)
  : m_loop(aLoop)
  , m_events(aEvents)
  , m_stream(aStream)
  , m_buffer(aMaxFrameBytes)
  , m_watchedEvents(EPOLLIN)
  , m_connected(true)
  , m_open(true)
{
  eventloop::SetPeerOptions(m_stream);
  m_loop.Add(m_stream.get_handle(), *this, m_watchedEvents);
}

FrameConnection::~FrameConnection()
{
  Close();
}

void
FrameConnection::Close()
{
  if (!m_open) {
    return;
  }
  m_open = false;
  if (m_watchedEvents != 0) {
    m_loop.Remove(m_stream.get_handle());
  }
  m_stream.close();
}

void
FrameConnection::CloseAndReport()
{
  if (m_open) {
    Close();
    m_events.OnLost(*this);
  }
}

void
FrameConnection::Send(const std::vector<std::uint8_t>& aFrame)
{
  const auto bytes = AddLengthPrefix(aFrame);
  m_sendBuffer.insert(m_sendBuffer.end(), bytes.begin(), bytes.end());
  if (m_connected) {
    Flush();
  }
}

void
FrameConnection::UpdateWatchedEvents()
{
  if (!m_open) {
    return;
  }
  const std::uint32_t events =
    EPOLLIN | (m_sentBytes < m_sendBuffer.size() ? EPOLLOUT : 0U);
  if (events != m_watchedEvents) {
    m_watchedEvents = events;
    m_loop.Modify(m_stream.get_handle(), events);
  }
}

void
FrameConnection::OnIo(std::uint32_t aEvents)
{
  if (!m_connected) {
    if ((aEvents & (EPOLLERR | EPOLLHUP)) != 0) {
      CloseAndReport();
      return;
    }
    m_connected = true;
    Flush();
    return;
  }
  if ((aEvents & EPOLLOUT) != 0) {
    Flush();
  }
  if (m_open && (aEvents & ~EPOLLOUT) != 0) {
    Read();
  }
}

void
FrameConnection::Flush()
{
  while (m_sentBytes < m_sendBuffer.size()) {
    const auto sent = m_stream.send(m_sendBuffer.data() + m_sentBytes,
                                    m_sendBuffer.size() - m_sentBytes);
    if (sent > 0) {
      m_sentBytes += static_cast<std::size_t>(sent);
      continue;
    }
    if (errno == EWOULDBLOCK || errno == EINTR) {
      break;
    }
    CloseAndReport();
    return;
  }
  if (m_sentBytes == m_sendBuffer.size()) {
    std::vector<std::uint8_t>().swap(m_sendBuffer);
    m_sentBytes = 0;
  }
  UpdateWatchedEvents();
}

void
FrameConnection::Read()
{
  std::array<std::uint8_t, kReadBytes> bytes;
  const auto received = m_stream.recv(bytes.data(), bytes.size());
  if (received == 0 ||
      (received == -1 && errno != EWOULDBLOCK && errno != EINTR)) {
    CloseAndReport();
    return;
  }
  if (received < 0) {
    return;
  }
  try {
    m_buffer.Append({ bytes.data(), static_cast<std::size_t>(received) });
    std::vector<std::uint8_t> frame;
    while (m_open && m_buffer.Next(frame)) {
      m_events.OnFrame(*this, frame);
    }
  } catch (const base::Error& error) {
    base::LogLine("bad-frame").Add("why", error.what()).Warn();
    CloseAndReport();
  }
}

}
