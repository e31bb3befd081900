#pragma once

#include "gateway/streamevent.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockgauge::gateway {

//! An event is held back until it is complete, so its length is limited.
inline constexpr std::size_t kMaxEventBytes = 65536;

//! The first event passed on that does not continue the numbering, for logs.
struct IrregularEvent
{
  EventStreamFault fault = EventStreamFault::None;
  std::size_t position = 0; //!< number of events passed on before it
  std::string excerpt;      //!< its first bytes
};

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
  //! Id of the first event passed on; empty if there is none.
  const std::string& FirstId() const { return m_firstId; }
  const IrregularEvent& Irregular() const { return m_irregular; }

private:
  bool HandleEvent(std::string_view aEvent, std::string& aOut);
  void Observe(std::string_view aEvent);

  std::string m_pending;
  std::optional<std::string> m_lastId;
  std::optional<long long> m_lastNumericId;
  bool m_resumed = false;
  EventStreamFault m_fault = EventStreamFault::None;
  std::size_t m_eventCount = 0;
  std::string m_firstId;
  std::optional<std::uint64_t> m_observedId; //!< of the last regular event
  IrregularEvent m_irregular;
};

}
