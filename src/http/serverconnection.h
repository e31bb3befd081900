#pragma once

#include "base/basetypes.h"
#include "base/callerlimits.h"
#include "eventloop/iiohandler.h"
#include "http/httptypes.h"
#include "http/messagereader.h"

#include <ace/SOCK_Stream.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::http {

class ServerConnection;

//! Told what happens on a ServerConnection.
class IServerEvents
{
public:
  virtual ~IServerEvents() = default;

  //! A whole request was read; it is answered now or later.
  virtual void OnRequest(ServerConnection& aConnection,
                         RequestHead&& aHead,
                         std::string&& aBody) = 0;
  //! The bytes are no request that is taken. It is answered at once, and
  //! the connection closes after the answer.
  virtual void OnBadRequest(ServerConnection& aConnection, Fault aFault) = 0;
  //! The other end went before its answer had ended.
  virtual void OnPeerGone(ServerConnection& aConnection) = 0;
  //! What waited to be sent has gone out.
  virtual void OnDrained(ServerConnection& aConnection) = 0;
  //! The last call for this connection; it may be deleted after this round
  //! of the loop.
  virtual void OnClosed(ServerConnection& aConnection) = 0;
};

//! The server's end of one HTTP/1.1 connection: one request at a time.
class ServerConnection : public eventloop::IIoHandler
{
public:
  ServerConnection(eventloop::EventLoop& aLoop,
                   const ACE_SOCK_Stream& aStream,
                   const base::CallerLimits& aLimits,
                   IServerEvents& aEvents);
  //! To be called once: reads when something comes.
  void Start() { Watch(); }
  //! Instead: reads now what has come already. Saves a busy loop a call for
  //! each connection that ends with its first answer.
  void StartReading();
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  //! aHead: status line and fields without the blank line. The fields of
  //! the framing and of the connection are added here.
  void BeginAnswer(const std::string& aHead,
                   Framing aFraming,
                   std::uint64_t aLength = 0);
  void Write(std::string_view aBytes);
  void EndAnswer();
  //! The answer can't be made whole: closes so that this shows.
  void Abort();
  //! The answer in progress, or the next one, is the last.
  void CloseAfterAnswer() { m_closeAfter = true; }
  //! Closes now if no request is being read or answered.
  void CloseIfIdle();

  //! Whether the other end has gone already although its request was read
  //! only now: a loop that lags behind reads what no one waits for.
  bool HasPeerGone() const;
  bool IsIdle() const { return m_state == State::Idle; }
  //! When it became idle, or its request began, or its answer.
  base::TimePoint Since() const { return m_since; }
  std::size_t Unsent() const { return m_out.size() - m_sent; }
  //! Looks at the time limits; to be called a few times a second.
  void Sweep(base::TimePoint aNow);

  void OnIo(std::uint32_t aEvents) override;

  //! For the owner: what this connection belongs to.
  void* context = nullptr;

private:
  enum class State : std::uint8_t
  {
    Idle,    //!< between requests
    Reading, //!< part of a request is here
    Answering,
    Lingering, //!< all is sent; the other end's bytes are thrown away
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
  void TakeBytes(std::string_view aBytes);
  void Parse();
  void Refuse(Fault aFault);
  void ScheduleFlush();
  void Flush();
  void FinishAnswer();
  void EndConnection();
  base::Duration ReadLimit() const;
  void Linger();
  void Close();
  void LosePeer();
  void Watch();
  bool ClosesWithFlush() const;

  eventloop::EventLoop& m_loop;
  ACE_SOCK_Stream m_stream;
  const base::CallerLimits& m_limits;
  IServerEvents& m_events;
  Sink m_sink{ *this };
  MessageReader m_reader{ MessageReader::Side::Requests, m_sink };
  State m_state = State::Idle;
  base::TimePoint m_since{}; //!< when the state began
  RequestHead m_head;
  std::string m_body;
  std::string m_in; //!< read and not yet parsed
  std::string m_out;
  std::size_t m_sent = 0;
  Framing m_framing = Framing::None;
  std::uint32_t m_watched = 0;
  bool m_isAdded = false; //!< to the loop
  bool m_bodyTooLarge = false;
  bool m_answerBegun = false;
  bool m_answerEnded = false;
  bool m_keepAlive = true;
  bool m_closeAfter = false;
  bool m_flushDue = false;
  bool m_parsing = false;
};

}
