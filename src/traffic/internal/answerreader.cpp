#include "traffic/internal/answerreader.h"

#include <charconv>

namespace hemlockgauge::traffic {

namespace {

constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::string_view kEventEnd = "\n\n";

//! Returns the value of the first line that starts with aName ("id:"); empty if
//! the event has no such line.
std::string_view
FieldValue(std::string_view aEvent, std::string_view aName)
{
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    const auto line = aEvent.substr(0, end);
    if (line.starts_with(aName)) {
      auto value = line.substr(aName.size());
      if (value.starts_with(' ')) {
        value.remove_prefix(1);
      }
      return value;
    }
    if (end == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(end + 1);
  }
  return {};
}

}

bool
PlainAnswer::Consume(std::string_view aBytes, std::string& aOut)
{
  aOut.append(aBytes);
  m_forwardedBytes += aBytes.size();
  return true;
}

EventStreamAnswer::EventStreamAnswer(std::string aRequestId)
  : m_requestId(std::move(aRequestId))
{
}

bool
EventStreamAnswer::Consume(std::string_view aBytes, std::string& aOut)
{
  m_pending.append(aBytes);
  std::size_t start = 0;
  while (!m_done) {
    const auto end = m_pending.find(kEventEnd, start);
    if (end == std::string::npos) {
      break;
    }
    const auto event = std::string_view(m_pending).substr(start, end - start);
    start = end + kEventEnd.size();
    if (!ConsumeEvent(event, aOut)) {
      return false;
    }
  }
  m_pending.erase(0, start);
  return m_pending.size() <= kMaxEventBytes;
}

bool
EventStreamAnswer::ConsumeEvent(std::string_view aEvent, std::string& aOut)
{
  if (aEvent.starts_with(':')) {
    return true; // a comment line, sent as keep-alive
  }
  const auto id = FieldValue(aEvent, "id:");
  const auto slash = id.rfind('/');
  if (slash == std::string_view::npos || id.substr(0, slash) != m_requestId) {
    return false;
  }
  const auto text = id.substr(slash + 1);
  std::uint64_t offset = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), offset);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return false;
  }
  if (offset < m_nextOffset) {
    return true; // already forwarded before the stream was resumed
  }
  if (offset > m_nextOffset) {
    return false;
  }
  m_done = FieldValue(aEvent, "event:") == "done";
  m_nextOffset += m_done ? 0 : 1;
  aOut.append(aEvent);
  aOut.append(kEventEnd);
  return true;
}

}
