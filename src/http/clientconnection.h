#pragma once

#include "base/address.h"
#include "base/basetypes.h"
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

//! How an exchange on a connection failed.
enum class ClientFailure : std::uint8_t
{
  NotConnected,     //!< no byte of the request was handed to the connection
  BrokenUnanswered, //!< sent, and no byte of the answer came
  BrokenInAnswer,   //!< the answer stopped on its way
  BadAnswer         //!< what came is no answer in the protocol
};
inline constexpr auto kClientFailureNames =
  base::MakeEnumNames<ClientFailure>("not-connected",
                                     "broken-unanswered",
                                     "broken-in-answer",
                                     "bad-answer");

//! Told what happens on a ClientConnection.
class IClientEvents
{
public:
  enum class HeadVerdict : std::uint8_t
  {
    Take,
    Skip, //!< it answers something else; the next answer may be ours
    Drop  //!< nothing on this connection can be trusted
  };

  virtual ~IClientEvents() = default;

  virtual HeadVerdict OnAnswerHead(ClientConnection& aConnection,
                                   ResponseHead&& aHead) = 0;
  virtual void OnAnswerBody(ClientConnection& aConnection,
                            std::string_view aBytes) = 0;
  //! aReusable: the connection can carry another request.
  virtual void OnAnswerEnd(ClientConnection& aConnection, bool aReusable) = 0;
  //! The connection is closed.
  virtual void OnFailed(ClientConnection& aConnection,
                        ClientFailure aFailure) = 0;
  //! The connection closed while nothing was in progress on it.
  virtual void OnIdleClosed(ClientConnection& aConnection) = 0;
};

//! The client's end of one HTTP/1.1 connection: one request at a time, and
//! nothing is ever sent twice by itself.
class ClientConnection : public eventloop::IIoHandler
{
public:
  ClientConnection(eventloop::EventLoop& aLoop,
                   const base::Address& aAddress,
                   IClientEvents& aEvents);
  ~ClientConnection() override;
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  //! Sends a whole request, once the connection is open.
  void Send(std::string aRequest, bool aIsHead = false);
  //! The owner is who is told from now on.
  void SetEvents(IClientEvents& aEvents) { m_events = &aEvents; }
  //! Ends it without a word to the owner.
  void Close();
  //! Stops or goes on reading, for a reader behind that is slow. A pause
  //! ends with its answer.
  void SetReading(bool aOn);
  //! Looks whether the other end has closed an idle connection or sent
  //! something; asked right before a request that must not be sent twice.
  bool IsStale();

  bool IsConnecting() const { return m_state == State::Connecting; }
  bool IsOpen() const { return m_state != State::Closed; }
  bool HasSentBytes() const { return m_requestBytesSent; }
  //! Since when it connects, is idle or carries its request.
  base::TimePoint Since() const { return m_since; }
  const base::Address& PeerAddress() const { return m_address; }

  void OnIo(std::uint32_t aEvents) override;

  //! Requests carried so far, this one included.
  int requests = 0;
  //! How long the other end says it keeps it idle; 0: it did not say.
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
  void Read();
  void TakeBytes(std::string_view aBytes);
  void TakeEnd(bool aReset);
  void EndMessage();
  void Fail(ClientFailure aFailure);
  ClientFailure BreakKind() const;
  void Watch();

  eventloop::EventLoop& m_loop;
  base::Address m_address;
  IClientEvents* m_events;
  ACE_SOCK_Stream m_stream;
  Sink m_sink{ *this };
  MessageReader m_reader{ MessageReader::Side::Responses, m_sink };
  State m_state = State::Connecting;
  base::TimePoint m_since{};
  std::string m_out;
  std::size_t m_sent = 0;
  std::uint32_t m_watched = 0;
  bool m_registered = false;
  bool m_reading = true;
  bool m_isHead = false;
  bool m_requestBytesSent = false;
  bool m_answerKeepAlive = true;
  bool m_skipping = false;
  bool m_dropped = false;
  int m_skipped = 0;
};

}
