#pragma once

#include "base/enumnames.h"
#include "http/headerlist.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockgauge::http {

//! Whether two texts, such as field names, are equal ignoring case.
bool
EqualsIgnoreCase(std::string_view aFirst, std::string_view aSecond);

//! Whether the comma-separated list contains the word, ignoring case.
bool
ListContains(std::string_view aList, std::string_view aWord);

//! Calls aCall with each item of a comma-separated list, without the blanks
//! around it.
void
ForEachListItem(std::string_view aList,
                const std::function<void(std::string_view)>& aCall);

//! How the end of a message body is determined (RFC 9112).
enum class Framing : std::uint8_t
{
  None,      //!< there is no body
  Length,    //!< by Content-Length
  Chunked,   //!< by the last chunk
  UntilClose //!< the connection closes
};
inline constexpr auto kFramingNames =
  base::MakeEnumNames<Framing>("none", "length", "chunked", "until-close");

struct RequestHead
{
  std::string method;
  std::string target; //!< path and query, not decoded
  HeaderList headers;
  bool keepAlive = true;
  std::optional<std::uint64_t> length; //!< Content-Length

  //! Memory that it takes, in bytes.
  std::size_t HeldBytes() const
  {
    return target.capacity() + headers.HeldBytes();
  }
};

struct ResponseHead
{
  int status = 0;
  std::string reason;
  HeaderList headers;
  bool keepAlive = true;
  Framing framing = Framing::None;
  std::uint64_t length = 0; //!< Content-Length, if framing is Length
};

//! Why a message was rejected.
enum class Fault : std::uint8_t
{
  None,
  Syntax,
  HeadTooLarge,
  BodyTooLarge,
  NoRoom, //!< it does not fit beside what is buffered now
  Timeout //!< the message did not arrive in time
};
inline constexpr auto kFaultNames = base::MakeEnumNames<Fault>("none",
                                                               "syntax",
                                                               "head-too-large",
                                                               "body-too-large",
                                                               "no-room",
                                                               "timeout");

//! Appends the status line, e.g. "HTTP/1.1 200 OK\r\n".
void
AppendStatusLine(std::string& aOut, int aStatus, std::string_view aReason);
//! Appends "NAME: VALUE\r\n".
void
AppendField(std::string& aOut, std::string_view aName, std::string_view aValue);
void
AppendNumberField(std::string& aOut,
                  std::string_view aName,
                  std::uint64_t aValue);
//! Appends one chunk of a chunked body; nothing if aBytes is empty.
void
AppendChunk(std::string& aOut, std::string_view aBytes);

//! Ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}
