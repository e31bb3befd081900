#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hemlockgauge::gateway {

//! Passes on the events of a text/event-stream one by one, whole. What a
//! broken upstream sent of its last event stays here, and what a second
//! run sends again of the first is left out.
class EventStreamFilter
{
public:
  //! Appends the events that are complete and new to aOut. Returns false if
  //! the ids go back or leave one out: the stream can't be trusted.
  bool Take(std::string_view aBytes, std::string& aOut);
  //! The stream goes on from another upstream after LastId.
  void Resume();
  //! Whether bytes of an event that is not complete are held back.
  bool HasPart() const { return !m_pending.empty(); }
  //! The id of the last event passed on, as it was spelled.
  const std::optional<std::string>& LastId() const { return m_lastId; }
  std::size_t Events() const { return m_events; }

private:
  bool TakeEvent(std::string_view aEvent, std::string& aOut);

  std::string m_pending;
  std::optional<std::string> m_lastId;
  std::optional<long long> m_lastNumber;
  bool m_resumed = false;
  std::size_t m_events = 0;
};

}
