#include "http/messagereader.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace hemlockgauge::http {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kFirstFinalStatus = 200;
// Results of the on_headers_complete callback of http_parser.
constexpr int kSkipBody = 1;
constexpr int kRejectHead = -1;

//! Whether a character may be part of a token (RFC 9110).
bool
IsTokenChar(char aChar)
{
  return std::isalnum(static_cast<unsigned char>(aChar)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(aChar) !=
           std::string_view::npos;
}

//! Whether a name or value holds valid characters only. http_parser accepts
//! blanks in names and control characters in values; if forwarded, the next hop
//! could interpret them differently (request smuggling).
bool
IsValidName(std::string_view aBytes)
{
  return std::all_of(aBytes.begin(), aBytes.end(), IsTokenChar);
}

bool
IsValidValue(std::string_view aBytes)
{
  return std::none_of(aBytes.begin(), aBytes.end(), [](char aChar) {
    const auto code = static_cast<unsigned char>(aChar);
    return (code < ' ' && aChar != '\t') || code == 0x7f;
  });
}

MessageReader&
ReaderOf(http_parser* aParser)
{
  return *static_cast<MessageReader*>(aParser->data);
}

}

MessageReader::MessageReader(Side aSide, IMessageSink& aSink)
  : m_sink(aSink)
  , m_side(aSide)
{
  Next();
}

const http_parser_settings&
MessageReader::Callbacks()
{
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &MessageReader::OnUrl;
    settings.on_status = &MessageReader::OnStatus;
    settings.on_header_field = &MessageReader::OnField;
    settings.on_header_value = &MessageReader::OnValue;
    settings.on_headers_complete = &MessageReader::OnHeadEnd;
    settings.on_body = &MessageReader::OnBodyBytes;
    settings.on_message_complete = &MessageReader::OnEnd;
    return settings;
  }();
  return kCallbacks;
}

void
MessageReader::Next(bool aNoBody)
{
  http_parser_init(&m_parser,
                   m_side == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_noBody = aNoBody;
  m_headBytes = 0;
  m_started = false;
  m_hasHead = false;
  m_ended = false;
  m_inName = false;
  m_inValue = false;
  m_hasInvalidField = false;
  ReleaseHead();
}

void
MessageReader::ReleaseHead()
{
  std::string().swap(m_startText);
  m_headers.Clear();
}

template<typename Call>
int
MessageReader::CatchInParser(const Call& aCall)
{
  try {
    return aCall();
  } catch (...) {
    m_error = std::current_exception();
    return kRejectHead;
  }
}

std::size_t
MessageReader::Execute(const char* aBytes, std::size_t aSize)
{
  const auto consumed =
    http_parser_execute(&m_parser, &Callbacks(), aBytes, aSize);
  if (m_error) {
    std::rethrow_exception(std::exchange(m_error, nullptr));
  }
  return consumed;
}

std::size_t
MessageReader::Feed(std::string_view aBytes)
{
  if (aBytes.empty() || m_ended || m_fault != Fault::None) {
    return 0;
  }
  m_started = true;
  if (m_hasHead) {
    return Parse(aBytes);
  }
  // The parser gets no more bytes than a head may have, so that a longer one is
  // found before its fields are stored.
  const auto consumed = Parse(aBytes.substr(0, m_maxHeadBytes - m_headBytes));
  m_headBytes += consumed;
  if (m_ended || m_fault != Fault::None) {
    return consumed;
  }
  if (!m_hasHead) {
    if (m_headBytes >= m_maxHeadBytes) {
      m_fault = Fault::HeadTooLarge;
    }
    return consumed;
  }
  return consumed + Feed(aBytes.substr(consumed));
}

//! Parses aBytes and sets the fault, if there is one.
std::size_t
MessageReader::Parse(std::string_view aBytes)
{
  const auto consumed = Execute(aBytes.data(), aBytes.size());
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  if (error != HPE_OK && error != HPE_PAUSED) {
    m_fault =
      error == HPE_HEADER_OVERFLOW ? Fault::HeadTooLarge : Fault::Syntax;
  } else if (m_parser.upgrade != 0) {
    m_fault = Fault::Syntax;
  }
  return consumed;
}

void
MessageReader::FeedEnd()
{
  if (m_ended || m_fault != Fault::None || !m_started) {
    return;
  }
  Execute(nullptr, 0);
  if (!m_ended) {
    m_fault = Fault::Syntax;
  }
}

int
MessageReader::OnUrl(http_parser* aParser, const char* aData, std::size_t aSize)
{
  ReaderOf(aParser).m_startText.append(aData, aSize);
  return 0;
}

int
MessageReader::OnStatus(http_parser* aParser,
                        const char* aData,
                        std::size_t aSize)
{
  ReaderOf(aParser).m_startText.append(aData, aSize);
  return 0;
}

int
MessageReader::OnField(http_parser* aParser,
                       const char* aData,
                       std::size_t aSize)
{
  auto& self = ReaderOf(aParser);
  if (self.m_hasHead) {
    return 0; // trailers after a chunked body are not forwarded
  }
  self.EndField();
  const std::string_view bytes(aData, aSize);
  self.m_inName = self.m_inName || !bytes.empty();
  self.m_hasInvalidField = self.m_hasInvalidField || !IsValidName(bytes);
  self.m_headers.AppendToName(bytes);
  return 0;
}

int
MessageReader::OnValue(http_parser* aParser,
                       const char* aData,
                       std::size_t aSize)
{
  auto& self = ReaderOf(aParser);
  if (self.m_hasHead) {
    return 0;
  }
  if (!self.m_inValue) {
    self.m_hasInvalidField = self.m_hasInvalidField || !self.m_inName;
    self.m_headers.EndName();
    self.m_inName = false;
    self.m_inValue = true;
  }
  const std::string_view bytes(aData, aSize);
  self.m_hasInvalidField = self.m_hasInvalidField || !IsValidValue(bytes);
  self.m_headers.AppendToValue(bytes);
  return 0;
}

void
MessageReader::EndField()
{
  if (m_inValue) {
    m_headers.EndField();
    m_inValue = false;
  }
}

int
MessageReader::OnHeadEnd(http_parser* aParser)
{
  auto& self = ReaderOf(aParser);
  return self.CatchInParser([&] { return self.EndHead(); });
}

int
MessageReader::OnBodyBytes(http_parser* aParser,
                           const char* aData,
                           std::size_t aSize)
{
  auto& self = ReaderOf(aParser);
  return self.CatchInParser([&] {
    self.m_sink.OnBody({ aData, aSize });
    return 0;
  });
}

int
MessageReader::OnEnd(http_parser* aParser)
{
  auto& self = ReaderOf(aParser);
  self.m_ended = true;
  self.m_sink.OnMessageEnd();
  http_parser_pause(aParser, 1);
  return 0;
}

bool
MessageReader::HasBodilessStatus() const
{
  const auto status = static_cast<int>(m_parser.status_code);
  return status < kFirstFinalStatus || status == kNoContent ||
         status == kNotModified;
}

Framing
MessageReader::ResponseFraming() const
{
  if (m_noBody || HasBodilessStatus()) {
    return Framing::None;
  }
  if ((m_parser.flags & F_CHUNKED) != 0) {
    return Framing::Chunked;
  }
  if ((m_parser.flags & F_CONTENTLENGTH) != 0) {
    return Framing::Length;
  }
  return Framing::UntilClose;
}

int
MessageReader::EndHead()
{
  m_hasHead = true;
  EndField();
  if (m_hasInvalidField || m_inName) {
    return kRejectHead;
  }
  const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
  const bool keepAlive = http_should_keep_alive(&m_parser) != 0;
  if (m_side == Side::Requests) {
    RequestHead head;
    head.method = http_method_str(static_cast<http_method>(m_parser.method));
    head.target = std::move(m_startText);
    head.headers = std::move(m_headers);
    head.keepAlive = keepAlive;
    if (hasLength) {
      head.length = m_parser.content_length;
    }
    m_sink.OnRequestHead(std::move(head));
    return 0;
  }
  ResponseHead head;
  head.status = static_cast<int>(m_parser.status_code);
  head.reason = std::move(m_startText);
  head.headers = std::move(m_headers);
  head.keepAlive = keepAlive;
  head.framing = ResponseFraming();
  head.length = hasLength ? m_parser.content_length : 0;
  m_sink.OnResponseHead(std::move(head));
  // Without a body, a length tells what a GET would return (RFC 9110, 8.6).
  return m_noBody || HasBodilessStatus() ? kSkipBody : 0;
}

}
