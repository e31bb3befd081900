#pragma once

#include "base/enumnames.h"

#include <cstdint>
#include <string_view>

namespace hemlockgauge::gateway {

//! Why an event of a stream can't be trusted.
enum class EventStreamFault : std::uint8_t
{
  None,
  OutOfOrder,  //!< its id is not the one after the previous event's
  TooLong,     //!< it has no end within kMaxEventBytes
  NotAnEvent,  //!< lines that no upstream generates, or no data
  NoId,        //!< no id, or an empty one
  SeveralIds,  //!< readers may take either
  IdNotANumber //!< or a number that is too large, or not in its usual form
};
inline constexpr auto kEventStreamFaultNames =
  base::MakeEnumNames<EventStreamFault>("none",
                                        "event id out of order",
                                        "event too long",
                                        "not an event",
                                        "event without id",
                                        "event with several ids",
                                        "event id is no number");

//! One event of a text/event-stream.
struct StreamEvent
{
  EventStreamFault fault = EventStreamFault::None;
  std::uint64_t id = 0; //!< if there is no fault
};

//! Reads an event including the blank line at its end. Accepts only what all
//! readers of event streams understand alike: lines that end with LF or CR LF,
//! fields with a name and a colon, one decimal id, and data.
StreamEvent
ParseStreamEvent(std::string_view aEvent);

}
