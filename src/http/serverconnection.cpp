#include "http/serverconnection.h"

#include "base/peerclosed.h"
#include "eventloop/eventloop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace hemlockgauge::http {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kReadBytes = 16384;
//! Maximum bytes of pipelined requests that are buffered while an answer is in
//! progress.
constexpr std::size_t kMaxReadAhead = 65536;
//! The same while the buffer budget is tight.
constexpr std::size_t kTightReadAhead = 4096;
//! How long the peer may take to read the last answer.
constexpr base::Duration kLingerTimeout = 1000ms;
//! Empty buffers with a larger capacity are freed.
constexpr std::size_t kMaxIdleCapacity = 4096;

//! Frees the memory of an empty buffer that has grown.
void
ReleaseIfLarge(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kMaxIdleCapacity) {
    std::string().swap(aBuffer);
  }
}

}

void
ServerConnection::Sink::OnRequestHead(RequestHead&& aHead)
{
  m_owner.m_head = std::move(aHead);
  const auto& length = m_owner.m_head.length;
  m_owner.m_bodyHasNoRoom = false;
  m_owner.m_bodyTooLarge = length && *length > m_owner.m_limits.maxBodyBytes;
  if (length && !m_owner.m_bodyTooLarge && m_owner.HasRoomForBody(*length)) {
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
  if (!owner.m_bodyTooLarge &&
      owner.HasRoomForBody(owner.m_body.size() + aBytes.size())) {
    owner.m_body.append(aBytes);
  }
}

ServerConnection::ServerConnection(eventloop::EventLoop& aLoop,
                                   const ACE_SOCK_Stream& aStream,
                                   const base::CallerLimits& aLimits,
                                   IServerEvents& aEvents,
                                   base::BufferBudget* aBudget)
  : m_loop(aLoop)
  , m_stream(aStream)
  , m_limits(aLimits)
  , m_events(aEvents)
  , m_since(aLoop.Now())
  , m_budget(aBudget)
  , m_headShare(aBudget, base::BufferUse::CallerInput)
  , m_inputShare(aBudget, base::BufferUse::CallerInput)
  , m_outputShare(aBudget, base::BufferUse::CallerOutput)
{
}

ServerConnection::~ServerConnection()
{
  if (m_state != State::Closed) {
    m_loop.RemoveBeforeClose(m_stream.get_handle());
    m_stream.close();
  }
}

void
ServerConnection::StartReading()
{
  Read();
  UpdateWatchedEvents();
}

//! Whether what was read of the head may be kept.
bool
ServerConnection::HasRoomForHead()
{
  return m_headShare.TrySet(m_reader.HeldBytes() + m_head.HeldBytes());
}

//! Whether a body may grow to aBytes. Sets the fault that rejects its request
//! if not.
bool
ServerConnection::HasRoomForBody(std::size_t aBytes)
{
  const auto capacity = m_body.capacity();
  if (m_budget == nullptr || aBytes <= capacity) {
    return !m_bodyHasNoRoom;
  }
  // A body in chunks grows by doubling.
  const auto grown = m_body.empty() ? aBytes : std::max(aBytes, 2 * capacity);
  m_bodyTooLarge = m_bodyTooLarge || !m_budget->CanFit(aBytes);
  m_bodyHasNoRoom = m_bodyHasNoRoom || !m_budget->Fits(grown);
  return !m_bodyTooLarge && !m_bodyHasNoRoom;
}

void
ServerConnection::CountBuffers()
{
  m_inputShare.Set(m_inBuffer.capacity() + m_body.capacity());
  m_outputShare.Set(m_outBuffer.capacity());
}

//! Whether the last answer is complete and the pending flush will close the
//! connection. Such a connection need not be registered with the event loop.
bool
ServerConnection::ClosesWithFlush() const
{
  return m_state == State::Answering && m_flushScheduled && m_answerEnded &&
         m_closeAfter;
}

std::size_t
ServerConnection::MaxReadAhead() const
{
  const bool isTight = m_budget != nullptr && m_budget->IsTight();
  return isTight ? kTightReadAhead : kMaxReadAhead;
}

//! Bytes to read at a time; at least one. The request that is being read may
//! end in them, so that the rest is read ahead.
std::size_t
ServerConnection::MaxReadBytes() const
{
  const auto maxAhead = MaxReadAhead();
  const auto ahead = m_state == State::Answering ? m_inBuffer.size() : 0;
  return maxAhead > ahead ? maxAhead - ahead : 1;
}

void
ServerConnection::UpdateWatchedEvents()
{
  if (m_state == State::Closed || (!m_isRegistered && ClosesWithFlush())) {
    return;
  }
  // While nothing is read, the peer's close has to be watched for instead.
  std::uint32_t events =
    m_inBuffer.size() < MaxReadAhead() ? EPOLLIN : EPOLLRDHUP;
  // The next iteration parses a pipelined request, so that one connection's
  // requests do not hold up the others.
  events |= UnsentBytes() > 0 || HasPipelinedRequest() ? EPOLLOUT : 0U;
  if (!m_isRegistered) {
    m_isRegistered = true;
    m_loop.Add(m_stream.get_handle(), *this, events);
  } else if (events != m_watchedEvents) {
    m_loop.Modify(m_stream.get_handle(), events);
  }
  m_watchedEvents = events;
}

void
ServerConnection::OnIo(std::uint32_t aEvents)
{
  if ((aEvents & EPOLLOUT) != 0) {
    Flush();
  }
  if (HasPipelinedRequest()) {
    Parse();
    CountBuffers();
    UpdateWatchedEvents();
  }
  if (m_state == State::Closed || (aEvents & ~EPOLLOUT) == 0) {
    return;
  }
  if (m_state == State::Answering && m_inBuffer.size() >= MaxReadAhead()) {
    if ((aEvents & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
      HandlePeerGone();
      return;
    }
    UpdateWatchedEvents(); // the budget has become tight since the last one
    return;
  }
  Read();
}

void
ServerConnection::OnIoFailed()
{
  if (m_state != State::Closed) {
    HandlePeerGone();
  }
}

void
ServerConnection::Read()
{
  std::array<char, kReadBytes> buffer;
  const auto received =
    m_stream.recv(buffer.data(), std::min(buffer.size(), MaxReadBytes()));
  if (received > 0) {
    HandleBytes({ buffer.data(), static_cast<std::size_t>(received) });
    return;
  }
  if (received == -1 && (errno == EWOULDBLOCK || errno == EINTR)) {
    return;
  }
  HandlePeerGone();
}

bool
ServerConnection::HasPeerGone() const
{
  return base::HasPeerClosed(m_stream.get_handle());
}

void
ServerConnection::HandlePeerGone()
{
  const bool wasAnswering = m_state == State::Answering;
  Close();
  if (wasAnswering) {
    m_events.OnPeerGone(*this);
  }
  m_events.OnClosed(*this);
}

void
ServerConnection::HandleBytes(std::string_view aBytes)
{
  if (m_state == State::Lingering) {
    return;
  }
  m_receivedAt = m_loop.Now();
  m_inBuffer.append(aBytes);
  if (m_state == State::Idle || m_state == State::Reading) {
    Parse();
  }
  CountBuffers();
  UpdateWatchedEvents();
}

void
ServerConnection::Parse()
{
  if (m_parsing) {
    return;
  }
  m_parsing = true;
  while (!m_inBuffer.empty() &&
         (m_state == State::Idle || m_state == State::Reading)) {
    if (m_state == State::Idle) {
      m_state = State::Reading;
      m_since = m_loop.Now();
      m_reader.SetMaxHeadBytes(m_limits.maxHeadBytes);
    }
    const auto consumed = m_reader.Feed(m_inBuffer);
    m_inBuffer.erase(0, consumed);
    const bool headHasNoRoom =
      m_reader.GetFault() == Fault::None && !HasRoomForHead();
    if (m_bodyTooLarge) {
      RejectRequest(Fault::BodyTooLarge);
    } else if (headHasNoRoom || m_bodyHasNoRoom) {
      RejectRequest(Fault::NoRoom);
    } else if (m_reader.GetFault() != Fault::None) {
      RejectRequest(m_reader.GetFault());
    } else if (m_reader.HasEnded()) {
      m_state = State::Answering;
      m_since = m_loop.Now();
      m_answerBegun = false;
      m_answerEnded = false;
      m_keepAlive = m_head.keepAlive;
      // From here on the receiver counts the request.
      m_headShare.Set(0);
      m_inputShare.Set(m_inBuffer.capacity());
      m_events.OnRequest(*this, std::move(m_head), std::move(m_body));
      m_head = RequestHead();
      m_body = std::string();
    }
  }
  ReleaseIfLarge(m_inBuffer);
  m_parsing = false;
}

void
ServerConnection::RejectRequest(Fault aFault)
{
  m_state = State::Answering;
  m_since = m_loop.Now();
  m_answerBegun = false;
  m_answerEnded = false;
  m_closeAfter = true;
  std::string().swap(m_inBuffer);
  std::string().swap(m_body);
  m_head = RequestHead();
  m_reader.ReleaseHead();
  m_headShare.Set(0);
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
  m_outBuffer += aHead;
  if (aFraming == Framing::Chunked) {
    AppendField(m_outBuffer, "Transfer-Encoding", "chunked");
  } else if (aFraming == Framing::Length) {
    AppendNumberField(m_outBuffer, "Content-Length", aLength);
  }
  m_closeAfter = m_closeAfter || !m_keepAlive;
  if (m_closeAfter) {
    AppendField(m_outBuffer, "Connection", "close");
  }
  m_outBuffer += "\r\n";
  CountBuffers();
  ScheduleFlush();
}

void
ServerConnection::Write(std::string_view aBytes)
{
  if (m_state != State::Answering) {
    return;
  }
  if (m_framing == Framing::Chunked) {
    AppendChunk(m_outBuffer, aBytes);
  } else {
    m_outBuffer += aBytes;
  }
  CountBuffers();
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
    m_outBuffer += kLastChunk;
  }
  ScheduleFlush();
}

//! Sends all output of one loop iteration in a single system call.
void
ServerConnection::ScheduleFlush()
{
  if (m_flushScheduled) {
    return;
  }
  m_flushScheduled = true;
  m_loop.Defer([this] {
    m_flushScheduled = false;
    if (m_state != State::Closed) {
      Flush();
    }
  });
}

void
ServerConnection::Flush()
{
  const bool hadBytes = UnsentBytes() > 0;
  while (UnsentBytes() > 0) {
    const auto sent =
      m_stream.send(m_outBuffer.data() + m_sentBytes, UnsentBytes());
    if (sent > 0) {
      m_sentBytes += static_cast<std::size_t>(sent);
      m_sentAt = m_loop.Now();
      continue;
    }
    if (errno == EWOULDBLOCK || errno == EINTR) {
      break;
    }
    HandlePeerGone();
    return;
  }
  if (UnsentBytes() == 0) {
    m_outBuffer.clear();
    m_sentBytes = 0;
    ReleaseIfLarge(m_outBuffer);
    if (m_state == State::Answering && m_answerEnded) {
      FinishAnswer();
    } else if (hadBytes) {
      m_events.OnDrained(*this);
    }
  }
  CountBuffers();
  UpdateWatchedEvents();
}

void
ServerConnection::FinishAnswer()
{
  m_hasAnswered = true;
  if (m_closeAfter) {
    EndConnection();
    return;
  }
  m_state = State::Idle;
  m_since = m_loop.Now();
  m_reader.Next();
}

void
ServerConnection::EndConnection()
{
  const bool allRead = m_reader.HasEnded() && m_inBuffer.empty();
  if (!allRead) {
    Linger();
    return;
  }
  Close();
  m_events.OnClosed(*this);
}

//! Closes only the sending side. Closing a socket with unread input resets the
//! connection, and the peer may lose the answer that it has not read yet.
void
ServerConnection::Linger()
{
  m_stream.close_writer();
  m_state = State::Lingering;
  m_since = m_loop.Now();
  std::string().swap(m_inBuffer);
}

void
ServerConnection::Close()
{
  if (m_state == State::Closed) {
    return;
  }
  m_loop.RemoveBeforeClose(m_stream.get_handle());
  m_stream.close();
  m_state = State::Closed;
  m_headShare.Set(0);
  m_inputShare.Set(0);
  m_outputShare.Set(0);
}

void
ServerConnection::Abort()
{
  if (m_state == State::Closed) {
    return;
  }
  // Sends what was written before the abort.
  if (UnsentBytes() > 0) {
    m_stream.send(m_outBuffer.data() + m_sentBytes, UnsentBytes());
  }
  Close();
  m_events.OnClosed(*this);
}

void
ServerConnection::CloseIfIdle()
{
  if (IsIdle()) {
    Close();
    m_events.OnClosed(*this);
  }
}

bool
ServerConnection::IsDispensable(base::Duration aPatience) const
{
  const bool isIdleAfterAnswer = IsIdle() && m_hasAnswered;
  const bool awaitsBytes = IsIdle() || m_state == State::Reading;
  return isIdleAfterAnswer ||
         (awaitsBytes && m_loop.Now() - LastActive() >= aPatience);
}

bool
ServerConnection::CloseIfDispensable(base::Duration aPatience)
{
  if (!IsDispensable(aPatience)) {
    return false;
  }
  Read(); // a process that was paused has not read what came meanwhile
  if (!IsDispensable(aPatience)) {
    return m_state == State::Closed;
  }
  if (m_state == State::Reading) {
    RejectRequest(Fault::Timeout);
  }
  Abort();
  return true;
}

base::Duration
ServerConnection::ReadTimeout() const
{
  return m_reader.HasHead() ? m_limits.idleTimeout : m_limits.headTimeout;
}

void
ServerConnection::EnforceTimeouts(base::TimePoint aNow)
{
  const auto age = aNow - m_since;
  const bool hasLingered = m_state == State::Lingering && age > kLingerTimeout;
  const bool isAnswerUnread =
    m_state == State::Answering && m_answerEnded &&
    aNow - std::max(m_since, m_sentAt) > m_limits.idleTimeout;
  if (hasLingered || isAnswerUnread) {
    Close();
    m_events.OnClosed(*this);
  } else if (m_state == State::Idle && age > m_limits.idleTimeout) {
    CloseIfIdle();
  } else if (m_state == State::Reading && age > ReadTimeout()) {
    RejectRequest(Fault::Timeout);
  }
}

}
