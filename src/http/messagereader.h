#pragma once

#include "http/httptypes.h"

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace hemlockgauge::http {

//! Told what a MessageReader reads, in order.
class IMessageSink
{
public:
  virtual ~IMessageSink() = default;

  virtual void OnRequestHead(RequestHead&&) {}
  virtual void OnResponseHead(ResponseHead&&) {}
  virtual void OnBody(std::string_view aBytes) = 0;
  virtual void OnMessageEnd() = 0;
};

//! Reads HTTP/1 messages from bytes as they come, one message at a time:
//! after the end of each, it takes no more until Next.
class MessageReader
{
public:
  enum class Side : std::uint8_t
  {
    Requests,
    Responses
  };

  MessageReader(Side aSide, IMessageSink& aSink);

  //! Returns how many bytes were taken; fewer than given only at the end of
  //! a message or at a fault.
  std::size_t Feed(std::string_view aBytes);
  //! The connection's sender closed it; may end a message without a length.
  void FeedEnd();
  //! Prepares for the next message; aNoBody if it answers a HEAD request.
  void Next(bool aNoBody = false);

  bool HasEnded() const { return m_ended; }
  bool HasHead() const { return m_hasHead; }
  Fault GetFault() const { return m_fault; }
  void SetMaxHeadBytes(std::size_t aMost) { m_maxHeadBytes = aMost; }

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

  int EndHead();
  std::size_t HeadBytes() const;
  Framing ResponseFraming() const;
  bool HasBodilessStatus() const;

  IMessageSink& m_sink;
  Side m_side;
  http_parser m_parser{};
  std::size_t m_maxHeadBytes = 65536;
  std::size_t m_headBytes = 0;
  bool m_noBody = false;
  bool m_started = false;
  bool m_hasHead = false;
  bool m_ended = false;
  bool m_inValue = false;
  Fault m_fault = Fault::None;
  std::string m_startText; //!< the target or the reason
  HeaderList m_headers;
};

}
