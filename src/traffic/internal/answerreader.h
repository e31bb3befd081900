#pragma once

#include "http/eventendfinder.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hemlockgauge::traffic {

//! Forwards the body of a plain upstream unchanged.
class PlainAnswer
{
public:
  //! Appends to aOut the bytes to forward to the caller. Returns false if the
  //! answer belongs to another request or is malformed.
  bool Consume(std::string_view aBytes, std::string& aOut);
  bool IsComplete(bool aCleanEnd) const { return aCleanEnd; }
  std::uint64_t Offset() const { return m_forwardedBytes; }
  //! Grows when the upstream sent something that shows that it is at work.
  std::uint64_t Progress() const { return m_forwardedBytes; }

private:
  std::uint64_t m_forwardedBytes = 0;
};

//! Parses the server-sent events of a model engine. Each event carries the
//! request id and a token offset ("id: REQUEST/OFFSET"). Only the event with
//! the next offset of this request is forwarded, so the caller gets each event
//! exactly once, also across resumptions. Only events that all readers
//! understand alike are accepted, and comments on their own, which are skipped.
class EventStreamAnswer
{
public:
  explicit EventStreamAnswer(std::string aRequestId);

  //! As for PlainAnswer. Bytes after the event "done" are ignored.
  bool Consume(std::string_view aBytes, std::string& aOut);
  bool IsComplete(bool) const { return m_done; }
  //! Offset of the next token to forward.
  std::uint64_t Offset() const { return m_nextOffset; }
  //! Number of events and comments that were read completely.
  std::uint64_t Progress() const { return m_progress; }
  //! Drops an incomplete event; call before reading a resumed stream.
  void Restart()
  {
    m_pending.clear();
    m_endFinder.Reset();
  }
  //! Number of bytes that were searched for the ends of events.
  std::uint64_t SearchedBytes() const { return m_endFinder.SearchedBytes(); }

private:
  bool ConsumeEvent(std::string_view aEvent, std::string& aOut);
  std::optional<std::uint64_t> ParseOffset(std::string_view aId) const;

  std::string m_requestId;
  std::string m_pending;
  http::EventEndFinder m_endFinder;
  std::uint64_t m_nextOffset = 0;
  std::uint64_t m_progress = 0;
  bool m_done = false;
};

using AnswerReader = std::variant<PlainAnswer, EventStreamAnswer>;

}
