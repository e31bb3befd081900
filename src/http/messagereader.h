#pragma once

#include "http/httptypes.h"

#include <cstddef>
#include <exception>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace hemlockgauge::http {

//! Receives the parts of each message from a MessageReader, in order.
class IMessageSink
{
public:
  virtual ~IMessageSink() = default;

  virtual void OnRequestHead(RequestHead&&) {}
  virtual void OnResponseHead(ResponseHead&&) {}
  virtual void OnBody(std::string_view aBytes) = 0;
  virtual void OnMessageEnd() = 0;
};

//! Incremental parser for HTTP/1 messages. After the end of each message it
//! consumes no bytes until Next is called.
class MessageReader
{
public:
  enum class Side : std::uint8_t
  {
    Requests,
    Responses
  };

  MessageReader(Side aSide, IMessageSink& aSink);

  //! Parses aBytes and returns how many were consumed: all of them, unless the
  //! message ends or a fault is found.
  std::size_t Feed(std::string_view aBytes);
  //! Reports that the peer closed the connection. Ends a message that is
  //! framed by the close; any other incomplete message is a syntax fault.
  void FeedEnd();
  //! Prepares for the next message. aNoBody: it is the response to a HEAD
  //! request and has no body.
  void Next(bool aNoBody = false);

  bool HasEnded() const { return m_ended; }
  bool HasHead() const { return m_hasHead; }
  Fault GetFault() const { return m_fault; }
  //! Memory that the head that is being read takes, in bytes.
  std::size_t HeldBytes() const
  {
    return m_startText.capacity() + m_headers.HeldBytes();
  }
  //! Frees that memory. The message can't be read on.
  void ReleaseHead();
  //! Limits the bytes of a head, its blank line included. Takes effect before
  //! the first byte of a message.
  void SetMaxHeadBytes(std::size_t aBytes) { m_maxHeadBytes = aBytes; }

private:
  static int OnUrl(http_parser* aParser, const char* aData, std::size_t aSize);
  static int OnStatus(http_parser* aParser,
                      const char* aData,
                      std::size_t aSize);
  static int OnField(http_parser* aParser,
                     const char* aData,
                     std::size_t aSize);
  static int OnValue(http_parser* aParser,
                     const char* aData,
                     std::size_t aSize);
  static int OnHeadEnd(http_parser* aParser);
  static int OnBodyBytes(http_parser* aParser,
                         const char* aData,
                         std::size_t aSize);
  static int OnEnd(http_parser* aParser);
  static const http_parser_settings& Callbacks();

  //! Runs aCall, whose exceptions must not pass through the C parser; Feed and
  //! FeedEnd throw them again.
  template<typename Call>
  int CatchInParser(const Call& aCall);
  std::size_t Execute(const char* aBytes, std::size_t aSize);
  std::size_t Parse(std::string_view aBytes);
  int EndHead();
  Framing ResponseFraming() const;
  bool HasBodilessStatus() const;
  void EndField();

  IMessageSink& m_sink;
  Side m_side;
  http_parser m_parser{};
  std::size_t m_maxHeadBytes = 65536;
  std::size_t m_headBytes = 0;
  bool m_noBody = false;
  bool m_started = false;
  bool m_hasHead = false;
  bool m_ended = false;
  bool m_inName = false;  //!< the last bytes were of a field's name
  bool m_inValue = false; //!< the last bytes were of a field's value
  bool m_hasInvalidField = false;
  Fault m_fault = Fault::None;
  std::exception_ptr m_error; //!< thrown by a callback of the parser
  std::string m_startText;    //!< request target or response reason
  HeaderList m_headers;
};

}
