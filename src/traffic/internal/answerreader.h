#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace hemlockgauge::traffic {

//! Passes a plain answer on as it comes.
class PlainAnswer
{
public:
  //! Bytes for the caller; false if the answer is not ours.
  bool Take(std::string_view aBytes, std::string& aOut);
  bool IsWhole(bool aCleanEnd) const { return aCleanEnd; }
  std::uint64_t Offset() const { return m_passed; }

private:
  std::uint64_t m_passed = 0;
};

//! Reads the server-sent events of a model engine. Each names the request
//! and its offset ("id: REQUEST/OFFSET"); only the next offset of our own
//! request is passed on, so none is missing and none comes twice.
class EventStreamAnswer
{
public:
  explicit EventStreamAnswer(std::string aRequestId);

  bool Take(std::string_view aBytes, std::string& aOut);
  bool IsWhole(bool) const { return m_done; }
  //! The offset of the next token.
  std::uint64_t Offset() const { return m_next; }
  //! Forgets a half-read event, before a resumed stream is read.
  void Restart() { m_pending.clear(); }

private:
  bool TakeEvent(std::string_view aEvent, std::string& aOut);

  std::string m_requestId;
  std::string m_pending;
  std::uint64_t m_next = 0;
  bool m_done = false;
};

using AnswerReader = std::variant<PlainAnswer, EventStreamAnswer>;

}
