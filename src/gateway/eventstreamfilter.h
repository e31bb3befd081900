#pragma once

#include "gateway/streamevent.h"
#include "http/eventendfinder.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockgauge::gateway {

//! An event is held back until it is complete, so its length is limited.
inline constexpr std::size_t kMaxEventBytes = 65536;

//! Splits a text/event-stream into complete events for the caller, and passes
//! on only those whose ids continue the stream: from 1, or from the event after
//! the last one that the caller has. Anything else shows that the upstream is
//! faulty and ends the run; skipping it could hide that events are missing. An
//! event that a broken upstream sent only in part is dropped, and events that a
//! resumed run repeats are skipped.
class EventStreamFilter
{
public:
  //! The caller already has the events up to aLastId; 0: none.
  void ResumeAfter(std::uint64_t aLastId);
  //! Appends complete new events to aOut, also those before a fault. Returns
  //! false if there is a fault.
  bool Consume(std::string_view aBytes, std::string& aOut);
  EventStreamFault Fault() const { return m_fault; }
  //! The first bytes of the event at fault, for logs.
  const std::string& FaultExcerpt() const { return m_faultExcerpt; }
  //! The stream is resumed by another upstream after LastId. Drops the partial
  //! event.
  void Resume();
  //! Whether bytes of an incomplete event are held back.
  bool HasPartialEvent() const { return !m_pending.empty(); }
  std::size_t PendingBytes() const { return m_pending.capacity(); }
  //! Id of the last event that the caller has; 0 if it has none.
  std::uint64_t LastId() const { return m_lastId; }
  //! Number of events passed on.
  std::size_t EventCount() const { return m_eventCount; }
  //! Number of bytes that were searched for the ends of events.
  std::uint64_t SearchedBytes() const { return m_endFinder.SearchedBytes(); }

private:
  bool HandleEvents(std::string_view& aBytes, std::string& aOut);
  bool HandleEvent(std::string_view aEvent, std::string& aOut);
  bool ContinuesRun(std::uint64_t aId) const;
  void DropPending();
  void SetFault(EventStreamFault aFault, std::string_view aBytes);

  std::string m_pending;
  http::EventEndFinder m_endFinder;
  std::uint64_t m_lastId = 0;
  //! Id of the run's last event, passed on or repeated; empty at its start.
  std::optional<std::uint64_t> m_lastIdOfRun;
  EventStreamFault m_fault = EventStreamFault::None;
  std::string m_faultExcerpt;
  std::size_t m_eventCount = 0;
};

}
