#include "http/clientconnection.h"

#include "eventloop/eventloop.h"
#include "eventloop/socketoptions.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace hemlockgauge::http {

namespace {

constexpr std::size_t kReadBytes = 16384;
constexpr int kFirstFinalStatus = 200;
//! Responses to other requests that are skipped before the exchange fails.
constexpr int kMaxSkippedAnswers = 3;
//! Bytes of such responses and of interim ones that are skipped.
constexpr std::size_t kMaxSkippedBytes = 262144;

}

void
ClientConnection::Sink::OnResponseHead(ResponseHead&& aHead)
{
  auto& owner = m_owner;
  if (aHead.status < kFirstFinalStatus) {
    owner.m_isSkipping = true; // interim response: the final one follows
    return;
  }
  owner.m_answerEndsByClose = aHead.framing == Framing::UntilClose;
  owner.m_answerKeepAlive = aHead.keepAlive && !owner.m_answerEndsByClose;
  const auto action = owner.m_events->OnAnswerHead(owner, std::move(aHead));
  owner.m_isSkipping = action == IClientEvents::HeadAction::Skip;
  owner.m_isRejected = action == IClientEvents::HeadAction::Reject;
  if (owner.m_isSkipping) {
    owner.m_skippedAnswers++;
  }
}

void
ClientConnection::Sink::OnBody(std::string_view aBytes)
{
  auto& owner = m_owner;
  if (!owner.m_isSkipping && !owner.m_isRejected &&
      owner.m_state == State::Busy) {
    owner.m_events->OnAnswerBody(owner, aBytes);
  }
}

ClientConnection::ClientConnection(eventloop::EventLoop& aLoop,
                                   const base::Address& aAddress,
                                   IClientEvents& aEvents,
                                   base::BufferBudget* aBudget)
  : m_loop(aLoop)
  , m_address(aAddress)
  , m_events(&aEvents)
  , m_since(aLoop.Now())
  , m_outputShare(aBudget, base::BufferUse::UpstreamOutput)
  , m_headShare(aBudget, base::BufferUse::UpstreamInput)
{
  Connect();
}

ClientConnection::~ClientConnection()
{
  Close();
}

void
ClientConnection::Connect()
{
  const ACE_INET_Addr address(m_address.port, m_address.ip.c_str());
  ACE_SOCK_Connector connector;
  const ACE_Time_Value noWait(0, 0);
  const int result = connector.connect(m_stream, address, &noWait);
  const bool failed =
    result == -1 && errno != EWOULDBLOCK && errno != EINPROGRESS;
  if (failed || m_stream.get_handle() == ACE_INVALID_HANDLE) {
    m_loop.Defer([this] { Fail(ClientFailure::NotConnected); });
    return;
  }
  m_stream.enable(ACE_NONBLOCK);
  eventloop::SetPeerOptions(m_stream);
  m_watchedEvents = EPOLLOUT;
  m_loop.Add(m_stream.get_handle(), *this, m_watchedEvents);
  m_registered = true;
}

void
ClientConnection::Close()
{
  if (m_state == State::Closed) {
    return;
  }
  if (m_registered) {
    m_loop.RemoveBeforeClose(m_stream.get_handle());
    m_registered = false;
  }
  m_stream.close();
  m_outputShare.Set(0);
  m_headShare.Set(0);
  m_rest = {};
  m_state = State::Closed;
}

void
ClientConnection::Send(std::string aRequest,
                       bool aIsHead,
                       std::string_view aRest)
{
  requests++;
  m_outBuffer = std::move(aRequest);
  m_rest = aRest;
  m_outputShare.Set(m_outBuffer.capacity());
  m_sentBytes = 0;
  m_isHead = aIsHead;
  m_requestBytesSent = false;
  m_isSkipping = false;
  m_skippedAnswers = 0;
  m_skippedBytes = 0;
  m_isRejected = false;
  m_reader.Next(aIsHead);
  if (m_state == State::Idle) {
    m_state = State::Busy;
    m_since = m_loop.Now();
    Flush();
  }
}

void
ClientConnection::SetReading(bool aOn)
{
  if (m_reading != aOn && m_state != State::Closed) {
    m_reading = aOn;
    UpdateWatchedEvents();
  }
}

bool
ClientConnection::IsStale()
{
  char byte = 0;
  const auto received =
    recv(m_stream.get_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void
ClientConnection::UpdateWatchedEvents()
{
  if (!m_registered) {
    return;
  }
  std::uint32_t events = m_reading ? EPOLLIN : 0U;
  events |= HasSentAll() ? 0U : EPOLLOUT;
  if (events != m_watchedEvents) {
    m_watchedEvents = events;
    m_loop.Modify(m_stream.get_handle(), events);
  }
}

void
ClientConnection::OnIo(std::uint32_t aEvents)
{
  if (m_state == State::Connecting) {
    int error = 0;
    int size = sizeof(error);
    m_stream.get_option(SOL_SOCKET, SO_ERROR, &error, &size);
    m_wasAccepted = error == 0 || error == ECONNRESET;
    if (error != 0 || (aEvents & (EPOLLERR | EPOLLHUP)) != 0) {
      Fail(ClientFailure::NotConnected);
      return;
    }
    m_state = m_outBuffer.empty() ? State::Idle : State::Busy;
    m_since = m_loop.Now();
    Flush();
    return;
  }
  if ((aEvents & EPOLLOUT) != 0) {
    Flush();
  }
  if (m_state != State::Closed && (aEvents & ~EPOLLOUT) != 0) {
    Read();
  }
}

//! Sends from aSent on. Returns false if the connection failed.
bool
ClientConnection::SendBytes(std::string_view aBytes, std::size_t& aSent)
{
  while (aSent < aBytes.size()) {
    const auto sent =
      m_stream.send(aBytes.data() + aSent, aBytes.size() - aSent);
    if (sent > 0) {
      aSent += static_cast<std::size_t>(sent);
      m_requestBytesSent = true;
      continue;
    }
    return errno == EWOULDBLOCK || errno == EINTR;
  }
  return true;
}

void
ClientConnection::Flush()
{
  bool isSound = SendBytes(m_outBuffer, m_sentBytes);
  if (isSound && m_sentBytes == m_outBuffer.size()) {
    std::string().swap(m_outBuffer);
    m_outputShare.Set(0);
    m_sentBytes = 0;
    std::size_t sent = 0;
    isSound = SendBytes(m_rest, sent);
    m_rest.remove_prefix(sent);
  }
  if (!isSound) {
    Fail(BreakFailure());
    return;
  }
  UpdateWatchedEvents();
}

void
ClientConnection::Read()
{
  std::array<char, kReadBytes> buffer;
  const auto received = m_stream.recv(buffer.data(), buffer.size());
  if (received > 0) {
    HandleBytes({ buffer.data(), static_cast<std::size_t>(received) });
  } else if (received == 0) {
    HandleEnd(false);
  } else if (errno != EWOULDBLOCK && errno != EINTR) {
    HandleEnd(true);
  }
}

void
ClientConnection::HandleBytes(std::string_view aBytes)
{
  if (m_state == State::Idle) {
    Close(); // no request was sent, so these bytes answer none
    m_events->OnIdleClosed(*this);
    return;
  }
  while (!aBytes.empty() && m_state == State::Busy) {
    const auto consumed = m_reader.Feed(aBytes);
    aBytes.remove_prefix(consumed);
    if (m_state != State::Busy) {
      return; // the event receiver closed it
    }
    m_skippedBytes += m_isSkipping ? consumed : 0;
    const bool hasRoom = m_headShare.TrySetAnswer(m_reader.HeldBytes());
    if (m_isRejected || !hasRoom || m_reader.GetFault() != Fault::None ||
        m_skippedBytes > kMaxSkippedBytes) {
      Fail(ClientFailure::BadAnswer);
      return;
    }
    if (!m_reader.HasEnded()) {
      continue;
    }
    if (m_isSkipping && m_skippedAnswers <= kMaxSkippedAnswers) {
      m_isSkipping = false;
      m_reader.Next(m_isHead);
      continue;
    }
    if (m_isSkipping) {
      Fail(ClientFailure::BadAnswer);
      return;
    }
    m_answerKeepAlive = m_answerKeepAlive && aBytes.empty();
    EndMessage();
    return;
  }
}

void
ClientConnection::EndMessage()
{
  const bool reusable = m_answerKeepAlive && HasSentAll();
  if (reusable) {
    m_state = State::Idle;
    m_since = m_loop.Now();
    SetReading(true);
  } else {
    Close();
  }
  m_events->OnAnswerEnd(*this, reusable);
}

void
ClientConnection::HandleEnd(bool aReset)
{
  if (m_state == State::Idle) {
    Close();
    m_events->OnIdleClosed(*this);
    return;
  }
  if (!aReset && !m_isSkipping) {
    m_reader.FeedEnd();
    if (m_state != State::Busy) {
      return;
    }
    if (m_reader.HasEnded() && !m_isRejected && !m_isSkipping) {
      m_answerKeepAlive = false;
      EndMessage();
      return;
    }
  }
  Fail(BreakFailure());
}

ClientFailure
ClientConnection::BreakFailure() const
{
  if (!m_requestBytesSent) {
    return ClientFailure::NotConnected;
  }
  return m_reader.HasHead() && !m_isSkipping ? ClientFailure::BrokenInAnswer
                                             : ClientFailure::BrokenUnanswered;
}

void
ClientConnection::Fail(ClientFailure aFailure)
{
  if (m_state == State::Closed) {
    return;
  }
  const bool wasIdle = m_state == State::Idle;
  Close();
  if (wasIdle) {
    m_events->OnIdleClosed(*this);
  } else {
    m_events->OnFailed(*this, aFailure);
  }
}

}
