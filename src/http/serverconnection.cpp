#include "http/serverconnection.h"

#include "eventloop/eventloop.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace hemlockgauge::http {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kReadBytes = 16384;
//! A caller that sends its next requests before it has its answer may run
//! ahead by this much.
constexpr std::size_t kMaxReadAhead = 65536;
//! How long the other end may take to read the last answer.
constexpr base::Duration kLingerLimit = 1000ms;
constexpr std::size_t kKeptBuffer = 4096;

//! Gives a buffer's memory back once it has grown and is empty.
void
Trim(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kKeptBuffer) {
    std::string().swap(aBuffer);
  }
}

}

void
ServerConnection::Sink::OnRequestHead(RequestHead&& aHead)
{
  m_owner.m_head = std::move(aHead);
  const auto& length = m_owner.m_head.length;
  m_owner.m_bodyTooLarge = length && *length > m_owner.m_limits.maxBodyBytes;
  if (length && !m_owner.m_bodyTooLarge) {
    m_owner.m_body.reserve(*length);
  }
}

void
ServerConnection::Sink::OnBody(std::string_view aBytes)
{
  auto& owner = m_owner;
  if (owner.m_body.size() + aBytes.size() > owner.m_limits.maxBodyBytes) {
    owner.m_bodyTooLarge = true;
  }
  if (!owner.m_bodyTooLarge) {
    owner.m_body.append(aBytes);
  }
}

ServerConnection::ServerConnection(eventloop::EventLoop& aLoop,
                                   const ACE_SOCK_Stream& aStream,
                                   const base::CallerLimits& aLimits,
                                   IServerEvents& aEvents)
  : m_loop(aLoop)
  , m_stream(aStream)
  , m_limits(aLimits)
  , m_events(aEvents)
  , m_since(aLoop.Now())
{
}

ServerConnection::~ServerConnection()
{
  if (m_state != State::Closed) {
    m_loop.RemoveClosing(m_stream.get_handle());
    m_stream.close();
  }
}

void
ServerConnection::StartReading()
{
  Read();
  Watch();
}

//! Its answer is whole and goes out in this round of the loop, the last one.
bool
ServerConnection::ClosesWithFlush() const
{
  return m_state == State::Answering && m_flushDue && m_answerEnded &&
         m_closeAfter;
}

void
ServerConnection::Watch()
{
  if (m_state == State::Closed || (!m_isAdded && ClosesWithFlush())) {
    return;
  }
  std::uint32_t events = m_in.size() < kMaxReadAhead ? EPOLLIN : 0U;
  events |= Unsent() > 0 ? EPOLLOUT : 0U;
  if (!m_isAdded) {
    m_isAdded = true;
    m_loop.Add(m_stream.get_handle(), *this, events);
  } else if (events != m_watched) {
    m_loop.Modify(m_stream.get_handle(), events);
  }
  m_watched = events;
}

void
ServerConnection::OnIo(std::uint32_t aEvents)
{
  if ((aEvents & EPOLLOUT) != 0) {
    Flush();
  }
  if (m_state != State::Closed && (aEvents & ~EPOLLOUT) != 0) {
    Read();
  }
}

void
ServerConnection::Read()
{
  std::array<char, kReadBytes> buffer;
  const auto got = m_stream.recv(buffer.data(), buffer.size());
  if (got > 0) {
    TakeBytes({ buffer.data(), static_cast<std::size_t>(got) });
    return;
  }
  if (got == -1 && (errno == EWOULDBLOCK || errno == EINTR)) {
    return;
  }
  LosePeer();
}

bool
ServerConnection::HasPeerGone() const
{
  char byte = 0;
  const auto got =
    recv(m_stream.get_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got == -1 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
ServerConnection::LosePeer()
{
  const bool waited = m_state == State::Answering;
  Close();
  if (waited) {
    m_events.OnPeerGone(*this);
  }
  m_events.OnClosed(*this);
}

void
ServerConnection::TakeBytes(std::string_view aBytes)
{
  if (m_state == State::Lingering) {
    return;
  }
  m_in.append(aBytes);
  if (m_state == State::Idle || m_state == State::Reading) {
    Parse();
  }
  Watch();
}

void
ServerConnection::Parse()
{
  if (m_parsing) {
    return;
  }
  m_parsing = true;
  while (!m_in.empty() &&
         (m_state == State::Idle || m_state == State::Reading)) {
    if (m_state == State::Idle) {
      m_state = State::Reading;
      m_since = m_loop.Now();
      m_reader.SetMaxHeadBytes(m_limits.maxHeadBytes);
    }
    const auto taken = m_reader.Feed(m_in);
    m_in.erase(0, taken);
    if (m_bodyTooLarge) {
      Refuse(Fault::BodyTooLarge);
    } else if (m_reader.GetFault() != Fault::None) {
      Refuse(m_reader.GetFault());
    } else if (m_reader.HasEnded()) {
      m_state = State::Answering;
      m_since = m_loop.Now();
      m_answerBegun = false;
      m_answerEnded = false;
      m_keepAlive = m_head.keepAlive;
      m_events.OnRequest(*this, std::move(m_head), std::move(m_body));
      m_body = std::string();
    }
  }
  Trim(m_in);
  m_parsing = false;
}

void
ServerConnection::Refuse(Fault aFault)
{
  m_state = State::Answering;
  m_since = m_loop.Now();
  m_answerBegun = false;
  m_answerEnded = false;
  m_closeAfter = true;
  m_in.clear();
  m_events.OnBadRequest(*this, aFault);
}

void
ServerConnection::BeginAnswer(const std::string& aHead,
                              Framing aFraming,
                              std::uint64_t aLength)
{
  if (m_state != State::Answering || m_answerBegun) {
    return;
  }
  m_answerBegun = true;
  m_framing = aFraming;
  m_out += aHead;
  if (aFraming == Framing::Chunked) {
    AppendField(m_out, "Transfer-Encoding", "chunked");
  } else if (aFraming == Framing::Length) {
    AppendNumberField(m_out, "Content-Length", aLength);
  }
  m_closeAfter = m_closeAfter || !m_keepAlive;
  if (m_closeAfter) {
    AppendField(m_out, "Connection", "close");
  }
  m_out += "\r\n";
  ScheduleFlush();
}

void
ServerConnection::Write(std::string_view aBytes)
{
  if (m_state != State::Answering) {
    return;
  }
  if (m_framing == Framing::Chunked) {
    AppendChunk(m_out, aBytes);
  } else {
    m_out += aBytes;
  }
  ScheduleFlush();
}

void
ServerConnection::EndAnswer()
{
  if (m_state != State::Answering || m_answerEnded) {
    return;
  }
  m_answerEnded = true;
  if (m_framing == Framing::Chunked) {
    m_out += kLastChunk;
  }
  ScheduleFlush();
}

//! What one round of the loop writes goes out in one system call.
void
ServerConnection::ScheduleFlush()
{
  if (m_flushDue) {
    return;
  }
  m_flushDue = true;
  m_loop.Defer([this] {
    m_flushDue = false;
    if (m_state != State::Closed) {
      Flush();
    }
  });
}

void
ServerConnection::Flush()
{
  const bool hadBytes = Unsent() > 0;
  while (Unsent() > 0) {
    const auto put = m_stream.send(m_out.data() + m_sent, Unsent());
    if (put > 0) {
      m_sent += static_cast<std::size_t>(put);
      continue;
    }
    if (errno == EWOULDBLOCK || errno == EINTR) {
      break;
    }
    LosePeer();
    return;
  }
  if (Unsent() == 0) {
    m_out.clear();
    m_sent = 0;
    Trim(m_out);
    if (m_state == State::Answering && m_answerEnded) {
      FinishAnswer();
    } else if (hadBytes) {
      m_events.OnDrained(*this);
    }
  }
  Watch();
}

void
ServerConnection::FinishAnswer()
{
  if (m_closeAfter) {
    EndConnection();
    return;
  }
  m_state = State::Idle;
  m_since = m_loop.Now();
  m_reader.Next();
  Parse();
}

void
ServerConnection::EndConnection()
{
  const bool allRead = m_reader.HasEnded() && m_in.empty();
  if (!allRead) {
    Linger();
    return;
  }
  Close();
  m_events.OnClosed(*this);
}

//! NOTE closing with bytes unread resets the connection, and the other end
//! may lose the answer that it has not read yet.
void
ServerConnection::Linger()
{
  m_stream.close_writer();
  m_state = State::Lingering;
  m_since = m_loop.Now();
  m_in.clear();
}

void
ServerConnection::Close()
{
  if (m_state == State::Closed) {
    return;
  }
  m_loop.RemoveClosing(m_stream.get_handle());
  m_stream.close();
  m_state = State::Closed;
}

void
ServerConnection::Abort()
{
  if (m_state == State::Closed) {
    return;
  }
  //! NOTE what was passed on before the break goes out first.
  if (Unsent() > 0) {
    m_stream.send(m_out.data() + m_sent, Unsent());
  }
  Close();
  m_events.OnClosed(*this);
}

void
ServerConnection::CloseIfIdle()
{
  if (m_state == State::Idle) {
    Close();
    m_events.OnClosed(*this);
  }
}

base::Duration
ServerConnection::ReadLimit() const
{
  return m_reader.HasHead() ? m_limits.idleTimeout : m_limits.headTimeout;
}

void
ServerConnection::Sweep(base::TimePoint aNow)
{
  const auto age = aNow - m_since;
  if (m_state == State::Idle && age > m_limits.idleTimeout) {
    CloseIfIdle();
  } else if (m_state == State::Lingering && age > kLingerLimit) {
    Close();
    m_events.OnClosed(*this);
  } else if (m_state == State::Reading && age > ReadLimit()) {
    Refuse(Fault::Timeout);
  }
}

}
