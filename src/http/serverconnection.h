#pragma once

#include "base/basetypes.h"
#include "base/bufferbudget.h"
#include "base/callerlimits.h"
#include "eventloop/iiohandler.h"
#include "http/httptypes.h"
#include "http/messagereader.h"

#include <ace/SOCK_Stream.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::http {

class ServerConnection;

//! Receives the events of a ServerConnection.
class IServerEvents
{
public:
  virtual ~IServerEvents() = default;

  //! A complete request was read. It may be answered at once or later.
  virtual void OnRequest(ServerConnection& aConnection,
                         RequestHead&& aHead,
                         std::string&& aBody) = 0;
  //! A request was rejected. The receiver must answer at once; the connection
  //! closes after that answer.
  virtual void OnBadRequest(ServerConnection& aConnection, Fault aFault) = 0;
  //! The peer disconnected before its answer was complete.
  virtual void OnPeerGone(ServerConnection& aConnection) = 0;
  //! All buffered output was sent while the answer is still in progress.
  virtual void OnDrained(ServerConnection& aConnection) = 0;
  //! The last event of this connection. It may be deleted after the current
  //! loop iteration.
  virtual void OnClosed(ServerConnection& aConnection) = 0;
};

//! The server side of one HTTP/1.1 connection. Handles one request at a time.
class ServerConnection : public eventloop::IIoHandler
{
public:
  ServerConnection(eventloop::EventLoop& aLoop,
                   const ACE_SOCK_Stream& aStream,
                   const base::CallerLimits& aLimits,
                   IServerEvents& aEvents,
                   base::BufferBudget* aBudget = nullptr);
  //! Starts reading when data arrives. Call this or StartReading once.
  void Start() { UpdateWatchedEvents(); }
  //! Reads at once what has already arrived. Under load this saves one system
  //! call for each connection that closes after its first answer.
  void StartReading();
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  //! aHead: status line and header fields without the blank line. The framing
  //! fields and the Connection field are added here.
  void BeginAnswer(const std::string& aHead,
                   Framing aFraming,
                   std::uint64_t aLength = 0);
  void Write(std::string_view aBytes);
  void EndAnswer();
  //! Closes the connection without completing the answer, so that the peer
  //! sees that it is truncated.
  void Abort();
  //! Closes the connection after the current or else the next answer.
  void CloseAfterAnswer() { m_closeAfter = true; }
  //! Closes now if no request is being read or answered.
  void CloseIfIdle();
  //! Whether it may be closed to make room for another one: it is idle after an
  //! answer, or its peer lets a request wait for aPatience or longer.
  bool IsDispensable(base::Duration aPatience) const;
  //! When the peer last sent something, or the current state began.
  base::TimePoint LastActive() const { return std::max(m_since, m_receivedAt); }
  //! Closes it if it is dispensable; refuses the request that is being read.
  //! Returns whether it was closed.
  bool CloseIfDispensable(base::Duration aPatience);

  //! Whether the peer has already disconnected. A loop that lags behind may
  //! read a request whose caller has given up.
  bool HasPeerGone() const;
  bool IsIdle() const { return m_state == State::Idle && m_inBuffer.empty(); }
  std::size_t UnsentBytes() const { return m_outBuffer.size() - m_sentBytes; }
  //! Enforces the timeouts. Must be called a few times a second.
  void EnforceTimeouts(base::TimePoint aNow);

  void OnIo(std::uint32_t aEvents) override;
  void OnIoFailed() override;

  //! Not used here: the owner may store its own object.
  void* context = nullptr;

private:
  enum class State : std::uint8_t
  {
    Idle,    //!< between requests
    Reading, //!< part of a request was read
    Answering,
    Lingering, //!< all is sent; incoming bytes are discarded
    Closed
  };

  class Sink : public IMessageSink
  {
  public:
    explicit Sink(ServerConnection& aOwner)
      : m_owner(aOwner)
    {
    }
    void OnRequestHead(RequestHead&& aHead) override;
    void OnBody(std::string_view aBytes) override;
    void OnMessageEnd() override {}

  private:
    ServerConnection& m_owner;
  };

  void Read();
  void HandleBytes(std::string_view aBytes);
  void Parse();
  void RejectRequest(Fault aFault);
  void ScheduleFlush();
  void Flush();
  void FinishAnswer();
  void EndConnection();
  base::Duration ReadTimeout() const;
  void Linger();
  void Close();
  void HandlePeerGone();
  void UpdateWatchedEvents();
  void CountBuffers();
  //! Whether a request or its begin was read behind the last one.
  bool HasPipelinedRequest() const
  {
    return m_state == State::Idle && !m_inBuffer.empty();
  }
  bool HasRoomForHead();
  bool HasRoomForBody(std::size_t aBytes);
  std::size_t MaxReadAhead() const;
  std::size_t MaxReadBytes() const;
  bool ClosesWithFlush() const;

  eventloop::EventLoop& m_loop;
  ACE_SOCK_Stream m_stream;
  const base::CallerLimits& m_limits;
  IServerEvents& m_events;
  Sink m_sink{ *this };
  MessageReader m_reader{ MessageReader::Side::Requests, m_sink };
  State m_state = State::Idle;
  base::TimePoint m_since{};      //!< when m_state began
  base::TimePoint m_sentAt{};     //!< when the peer last took bytes
  base::TimePoint m_receivedAt{}; //!< when the peer last sent bytes
  RequestHead m_head;
  std::string m_body;
  std::string m_inBuffer; //!< received but not yet parsed
  std::string m_outBuffer;
  base::BufferBudget* m_budget;
  base::BufferShare m_headShare;
  base::BufferShare m_inputShare;
  base::BufferShare m_outputShare;
  std::size_t m_sentBytes = 0;
  Framing m_framing = Framing::None;
  std::uint32_t m_watchedEvents = 0;
  bool m_isRegistered = false; //!< registered with the event loop
  bool m_bodyTooLarge = false;
  bool m_bodyHasNoRoom = false;
  bool m_answerBegun = false;
  bool m_answerEnded = false;
  bool m_hasAnswered = false; //!< at least one request
  bool m_keepAlive = true;
  bool m_closeAfter = false;
  bool m_flushScheduled = false;
  bool m_parsing = false;
};

}
