#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/bufferbudget.h"
#include "base/enumnames.h"
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

class ClientConnection;

//! How an HTTP exchange on a client connection failed.
enum class ClientFailure : std::uint8_t
{
  NotConnected,     //!< no byte of the request was sent
  BrokenUnanswered, //!< bytes were sent, but no final response head came
  BrokenInAnswer,   //!< the connection broke after the response head
  BadAnswer         //!< the response is malformed or was rejected
};
inline constexpr auto kClientFailureNames =
  base::MakeEnumNames<ClientFailure>("not-connected",
                                     "broken-unanswered",
                                     "broken-in-answer",
                                     "bad-answer");

//! Receives the events of a ClientConnection.
class IClientEvents
{
public:
  //! What to do with a response after its head was read.
  enum class HeadAction : std::uint8_t
  {
    Accept,
    Skip,  //!< it belongs to another request; wait for the next response
    Reject //!< close the connection: its responses cannot be trusted
  };

  virtual ~IClientEvents() = default;

  virtual HeadAction OnAnswerHead(ClientConnection& aConnection,
                                  ResponseHead&& aHead) = 0;
  virtual void OnAnswerBody(ClientConnection& aConnection,
                            std::string_view aBytes) = 0;
  //! aReusable: the connection can carry another request.
  virtual void OnAnswerEnd(ClientConnection& aConnection, bool aReusable) = 0;
  //! The exchange failed; the connection is already closed.
  virtual void OnFailed(ClientConnection& aConnection,
                        ClientFailure aFailure) = 0;
  //! The connection closed while no request was in progress.
  virtual void OnIdleClosed(ClientConnection& aConnection) = 0;
};

//! The client side of one HTTP/1.1 connection. Carries one request at a time
//! and never resends a request on its own.
class ClientConnection : public eventloop::IIoHandler
{
public:
  ClientConnection(eventloop::EventLoop& aLoop,
                   const base::Address& aAddress,
                   IClientEvents& aEvents,
                   base::BufferBudget* aBudget = nullptr);
  ~ClientConnection() override;
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  //! Sends a complete request as soon as the connection is open. aIsHead: it
  //! is a HEAD request, whose response has no body. aRest: bytes that follow
  //! aRequest; must stay valid until the request has ended.
  void Send(std::string aRequest,
            bool aIsHead = false,
            std::string_view aRest = {});
  //! Sends all later events to aEvents.
  void SetEvents(IClientEvents& aEvents) { m_events = &aEvents; }
  //! Closes the connection without notifying the event receiver.
  void Close();
  //! Pauses or resumes reading, as flow control for a slow consumer. Reading
  //! resumes by itself at the end of the response.
  void SetReading(bool aOn);
  //! Whether the peer has closed this idle connection or sent unexpected
  //! bytes. Checked right before sending a request that must not be retried.
  bool IsStale();

  bool IsConnecting() const { return m_state == State::Connecting; }
  bool IsOpen() const { return m_state != State::Closed; }
  //! Whether the peer accepted the connection, also if it reset it at once.
  bool WasAccepted() const { return m_wasAccepted; }
  //! Whether it is read; otherwise the peer's close is not noticed.
  bool IsReading() const { return m_reading; }
  bool HasSentBytes() const { return m_requestBytesSent; }
  //! Whether the last response had neither a length nor chunks, so that the end
  //! of the connection ended it.
  bool EndedByClose() const { return m_answerEndsByClose; }
  //! When the current state (connecting, idle or busy) began.
  base::TimePoint StateSince() const { return m_since; }
  const base::Address& PeerAddress() const { return m_address; }

  void OnIo(std::uint32_t aEvents) override;
  void OnIoFailed() override { Fail(ClientFailure::BadAnswer); }

  //! Requests sent on this connection, including the current one.
  int requests = 0;
  //! How long the peer keeps an idle connection open, as it announced; 0 if
  //! it did not.
  base::Duration keepAlive{};

private:
  enum class State : std::uint8_t
  {
    Connecting,
    Idle,
    Busy,
    Closed
  };

  class Sink : public IMessageSink
  {
  public:
    explicit Sink(ClientConnection& aOwner)
      : m_owner(aOwner)
    {
    }
    void OnResponseHead(ResponseHead&& aHead) override;
    void OnBody(std::string_view aBytes) override;
    void OnMessageEnd() override {}

  private:
    ClientConnection& m_owner;
  };

  void Connect();
  void Flush();
  bool SendBytes(std::string_view aBytes, std::size_t& aSent);
  bool HasSentAll() const
  {
    return m_sentBytes == m_outBuffer.size() && m_rest.empty();
  }
  void Read();
  void HandleBytes(std::string_view aBytes);
  void HandleEnd(bool aReset);
  void EndMessage();
  void Fail(ClientFailure aFailure);
  ClientFailure BreakFailure() const;
  void UpdateWatchedEvents();

  eventloop::EventLoop& m_loop;
  base::Address m_address;
  IClientEvents* m_events;
  ACE_SOCK_Stream m_stream;
  Sink m_sink{ *this };
  MessageReader m_reader{ MessageReader::Side::Responses, m_sink };
  State m_state = State::Connecting;
  base::TimePoint m_since{};
  std::string m_outBuffer;
  std::string_view m_rest; //!< to send after m_outBuffer
  base::BufferShare m_outputShare;
  base::BufferShare m_headShare;
  std::size_t m_sentBytes = 0;
  std::uint32_t m_watchedEvents = 0;
  bool m_registered = false;
  bool m_reading = true;
  bool m_isHead = false;
  bool m_wasAccepted = false;
  bool m_requestBytesSent = false;
  bool m_answerKeepAlive = true;
  bool m_answerEndsByClose = false;
  bool m_isSkipping = false;
  bool m_isRejected = false;
  int m_skippedAnswers = 0;
  std::size_t m_skippedBytes = 0;
};

}
