#pragma once

#include "base/enumnames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockgauge::http {

struct HeaderField
{
  std::string name;
  std::string value;
};

//! Header fields in the order they came; names compare without case.
struct HeaderList
{
  std::vector<HeaderField> fields;

  const std::string* Find(std::string_view aName) const;
  std::size_t CountOf(std::string_view aName) const;
};

bool
SameName(std::string_view aFirst, std::string_view aSecond);

//! Whether the comma-separated list holds the word, without case.
bool
ListHolds(std::string_view aList, std::string_view aWord);

//! How the end of a body is told.
enum class Framing : std::uint8_t
{
  None, //!< there is no body
  Length,
  Chunked,
  UntilClose
};

struct RequestHead
{
  std::string method;
  std::string target; //!< path and query as they came
  HeaderList headers;
  bool keepAlive = true;
  std::optional<std::uint64_t> length;
};

struct ResponseHead
{
  int status = 0;
  std::string reason;
  HeaderList headers;
  bool keepAlive = true;
  Framing framing = Framing::None;
  std::uint64_t length = 0; //!< of Framing::Length
};

//! Why bytes are no message that is taken.
enum class Fault : std::uint8_t
{
  None,
  Syntax,
  HeadTooLarge,
  BodyTooLarge,
  Timeout //!< the message did not arrive in time
};
inline constexpr auto kFaultNames = base::MakeEnumNames<Fault>("none",
                                                               "syntax",
                                                               "head-too-large",
                                                               "body-too-large",
                                                               "timeout");

//! "HTTP/1.1 200 OK\r\n" and the fields, without the blank line.
void
AppendStatusLine(std::string& aOut, int aStatus, std::string_view aReason);
void
AppendField(std::string& aOut, std::string_view aName, std::string_view aValue);
void
AppendNumberField(std::string& aOut,
                  std::string_view aName,
                  std::uint64_t aValue);
void
AppendChunk(std::string& aOut, std::string_view aBytes);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}
