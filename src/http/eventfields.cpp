#include "http/eventfields.h"

#include "http/httptypes.h"

#include <algorithm>
#include <charconv>

namespace hemlockgauge::http {

namespace {

constexpr std::string_view kEventStreamType = "text/event-stream";
constexpr std::string_view kIdField = "id";
constexpr std::string_view kTypeField = "event";
constexpr std::string_view kDataField = "data";
//! All numbers of so many digits fit into 64 bits.
constexpr std::size_t kMaxNumberDigits = 18;

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

//! Some readers end a line at a CR, or a value at a NUL.
bool
HasControl(std::string_view aText)
{
  return aText.find_first_of(std::string_view("\r\0", 2)) !=
         std::string_view::npos;
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
  if (!isName || HasControl(field.value)) {
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

//! Whether aField is the one of this name in any case; then sets aValue, and
//! aHasSeveral if it was set before.
bool
TakeField(const EventField& aField,
          std::string_view aName,
          std::optional<std::string_view>& aValue,
          bool& aHasSeveral)
{
  if (!EqualsIgnoreCase(aField.name, aName)) {
    return false;
  }
  aHasSeveral = aHasSeveral || aValue.has_value();
  aValue = aField.name == aName ? aField.value : std::string_view();
  return true;
}

}

bool
IsEventStreamType(std::string_view aContentType)
{
  const auto type = aContentType.substr(0, aContentType.find_first_of("; \t"));
  return EqualsIgnoreCase(type, kEventStreamType);
}

std::size_t
FindEventEnd(std::string_view aBytes)
{
  std::size_t from = 0;
  while (true) {
    const auto end = aBytes.find('\n', from);
    if (end == std::string_view::npos) {
      return std::string_view::npos;
    }
    const auto next = aBytes.substr(end + 1);
    if (next.starts_with('\n')) {
      return end + 2;
    }
    if (next.starts_with("\r\n")) {
      return end + 3;
    }
    from = end + 1;
  }
}

std::optional<EventFields>
ParseEventFields(std::string_view aEvent)
{
  EventFields fields;
  while (!aEvent.empty()) {
    const auto line = TakeLine(aEvent);
    if (line.empty() && aEvent.empty()) {
      break; // the blank line
    }
    const auto field = ParseField(line);
    if (!field) {
      return std::nullopt;
    }
    if (!TakeField(*field, kIdField, fields.id, fields.hasSeveralIds)) {
      TakeField(*field, kTypeField, fields.type, fields.hasSeveralTypes);
    }
    fields.hasData = fields.hasData || field->name == kDataField;
  }
  return fields;
}

bool
IsEventComment(std::string_view aEvent)
{
  if (!aEvent.starts_with(':')) {
    return false;
  }
  while (!aEvent.empty()) {
    const auto line = TakeLine(aEvent);
    const bool isBlankLine = line.empty() && aEvent.empty();
    if (!isBlankLine && (!line.starts_with(':') || HasControl(line))) {
      return false;
    }
  }
  return true;
}

std::optional<std::uint64_t>
ParseEventNumber(std::string_view aText)
{
  const bool hasLeadingZero = aText.size() > 1 && aText.front() == '0';
  if (aText.empty() || aText.size() > kMaxNumberDigits || hasLeadingZero) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  const bool isNumber = result.ec == std::errc() && result.ptr == end;
  return isNumber ? std::optional(number) : std::nullopt;
}

}
