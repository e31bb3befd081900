#include "gateway/streamevent.h"

#include "http/httptypes.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace hemlockgauge::gateway {

namespace {

constexpr std::string_view kIdField = "id";
constexpr std::string_view kDataField = "data";
//! All numbers of so many digits fit into 64 bits.
constexpr std::size_t kMaxIdDigits = 18;

struct EventField
{
  std::string_view name;
  std::string_view value;
};

bool
IsNameChar(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_';
}

//! Parses "NAME:VALUE" or "NAME: VALUE".
std::optional<EventField>
ParseField(std::string_view aLine)
{
  const auto colon = aLine.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  EventField field{ aLine.substr(0, colon), aLine.substr(colon + 1) };
  if (field.value.starts_with(' ')) {
    field.value.remove_prefix(1);
  }
  const bool isName =
    std::all_of(field.name.begin(), field.name.end(), IsNameChar);
  const bool hasControl =
    field.value.find_first_of(std::string_view("\r\0", 2)) !=
    std::string_view::npos;
  if (!isName || hasControl) {
    return std::nullopt;
  }
  return field;
}

//! Takes the first line and its end off aText.
std::string_view
TakeLine(std::string_view& aText)
{
  const auto end = std::min(aText.find('\n'), aText.size());
  auto line = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

}

std::optional<std::uint64_t>
ParseEventId(std::string_view aText)
{
  const bool hasLeadingZero = aText.size() > 1 && aText.front() == '0';
  if (aText.empty() || aText.size() > kMaxIdDigits || hasLeadingZero) {
    return std::nullopt;
  }
  std::uint64_t id = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, id);
  const bool isNumber = result.ec == std::errc() && result.ptr == end;
  return isNumber ? std::optional(id) : std::nullopt;
}

StreamEvent
ParseStreamEvent(std::string_view aEvent)
{
  std::optional<std::string_view> id;
  bool hasData = false;
  while (!aEvent.empty()) {
    const auto line = TakeLine(aEvent);
    if (line.empty() && aEvent.empty()) {
      break; // the blank line
    }
    const auto field = ParseField(line);
    if (!field) {
      return { EventStreamFault::NotAnEvent, 0 };
    }
    if (http::EqualsIgnoreCase(field->name, kIdField)) {
      if (id) {
        return { EventStreamFault::SeveralIds, 0 };
      }
      const bool isExact = field->name == kIdField;
      id = isExact ? field->value : std::string_view();
    }
    hasData = hasData || field->name == kDataField;
  }
  if (!id || id->empty()) {
    return { EventStreamFault::NoId, 0 };
  }
  const auto number = ParseEventId(*id);
  if (!number) {
    return { EventStreamFault::IdNotANumber, 0 };
  }
  if (!hasData) {
    return { EventStreamFault::NotAnEvent, 0 };
  }
  return { EventStreamFault::None, *number };
}

}
