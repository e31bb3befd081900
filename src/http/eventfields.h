#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlockgauge::http {

//! Whether a Content-Type announces a text/event-stream, with or without
//! parameters.
bool
IsEventStreamType(std::string_view aContentType);

//! Length of the first event of a text/event-stream including its blank line;
//! npos if it is not complete.
std::size_t
FindEventEnd(std::string_view aBytes);

//! The fields of one event that a router reads. Some readers take "ID" for
//! "id", so these two names are recognized in any case.
struct EventFields
{
  //! Value of the last id; empty text if its name is not written "id".
  std::optional<std::string_view> id;
  bool hasSeveralIds = false;
  //! Value of the last event type; empty text if its name is not written
  //! "event".
  std::optional<std::string_view> type;
  bool hasSeveralTypes = false;
  bool hasData = false;
};

//! Reads an event including the blank line at its end. Accepts only what all
//! readers of event streams understand alike: lines that end with LF or CR LF,
//! and fields with a name and a colon. Empty if there is any other line, also
//! for a comment.
std::optional<EventFields>
ParseEventFields(std::string_view aEvent);

//! Whether an event holds comment lines alone.
bool
IsEventComment(std::string_view aEvent);

//! A decimal number in its usual form, of up to 18 digits. Empty if the text is
//! anything else.
std::optional<std::uint64_t>
ParseEventNumber(std::string_view aText);

}
