#pragma once

#include "base/enumnames.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockgauge::gateway {

//! Why a stream can't be trusted any more.
enum class EventStreamFault : std::uint8_t
{
  None,
  OutOfOrder, //!< the numeric ids go back or skip one
  TooLong     //!< an event has no end within kMaxEventBytes
};
inline constexpr auto kEventStreamFaultNames =
  base::MakeEnumNames<EventStreamFault>("none",
                                        "event id out of order",
                                        "event too long");

//! An event is held back until it is complete, so its length is limited.
inline constexpr std::size_t kMaxEventBytes = 65536;

//! Splits a text/event-stream into complete events for the caller. An event
//! that a broken upstream sent only in part is dropped, and events that a
//! resumed run repeats are skipped.
class EventStreamFilter
{
public:
  //! Appends complete new events to aOut. Returns false if there is a fault.
  bool Consume(std::string_view aBytes, std::string& aOut);
  EventStreamFault Fault() const { return m_fault; }
  //! The stream is resumed by another upstream after LastId. Drops the partial
  //! event.
  void Resume();
  //! Whether bytes of an incomplete event are held back.
  bool HasPartialEvent() const { return !m_pending.empty(); }
  std::size_t PendingBytes() const { return m_pending.capacity(); }
  //! Id of the last event passed on, as the upstream wrote it.
  const std::optional<std::string>& LastId() const { return m_lastId; }
  //! Number of events passed on.
  std::size_t EventCount() const { return m_eventCount; }

private:
  bool HandleEvent(std::string_view aEvent, std::string& aOut);

  std::string m_pending;
  std::optional<std::string> m_lastId;
  std::optional<long long> m_lastNumericId;
  bool m_resumed = false;
  EventStreamFault m_fault = EventStreamFault::None;
  std::size_t m_eventCount = 0;
};

}
