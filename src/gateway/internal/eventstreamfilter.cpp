#include "gateway/eventstreamfilter.h"

#include <charconv>

namespace hemlockgauge::gateway {

namespace {

constexpr std::string_view kIdField = "id:";
//! Bytes of an irregular event that are kept for the log.
constexpr std::size_t kMaxExcerptBytes = 64;

//! Length of the first event including its blank line; npos if it is not
//! complete.
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

//! The value of the event's id field, without surrounding spaces.
std::optional<std::string_view>
EventIdOf(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      const auto first = line.find_first_not_of(' ');
      const auto last = line.find_last_not_of(" \r");
      return first == std::string_view::npos
               ? std::string_view()
               : line.substr(first, last - first + 1);
    }
    if (end == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(end + 1);
  }
  return std::nullopt;
}

std::optional<long long>
ParseInteger(std::string_view aText)
{
  long long value = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}

bool
EventStreamFilter::Consume(std::string_view aBytes, std::string& aOut)
{
  //! NOTE bytes are copied only if part of an event is pending, as most reads
  //! hold complete events.
  std::string joined;
  if (!m_pending.empty()) {
    joined = std::move(m_pending);
    m_pending.clear();
    joined += aBytes;
    aBytes = joined;
  }
  while (!aBytes.empty()) {
    const auto end = FindEventEnd(aBytes);
    if (end == std::string_view::npos) {
      if (aBytes.size() > kMaxEventBytes) {
        m_fault = EventStreamFault::TooLong;
        return false;
      }
      m_pending = aBytes;
      return true;
    }
    if (!HandleEvent(aBytes.substr(0, end), aOut)) {
      return false;
    }
    aBytes.remove_prefix(end);
  }
  return true;
}

bool
EventStreamFilter::HandleEvent(std::string_view aEvent, std::string& aOut)
{
  const auto id = EventIdOf(aEvent);
  if (id) {
    const auto number = ParseInteger(*id);
    if (number && m_lastNumericId) {
      if (*number <= *m_lastNumericId && m_resumed) {
        return true; // repeated by the resumed run
      }
      if (*number != *m_lastNumericId + 1) {
        m_fault = EventStreamFault::OutOfOrder;
        return false;
      }
    }
    m_lastNumericId = number;
    m_lastId = std::string(*id);
    m_resumed = false;
  }
  Observe(aEvent);
  m_eventCount++;
  aOut += aEvent;
  return true;
}

void
EventStreamFilter::Observe(std::string_view aEvent)
{
  if (m_eventCount == 0) {
    m_firstId = EventIdOf(aEvent).value_or("");
  }
  const auto event = ParseStreamEvent(aEvent);
  const auto expected = m_observedId ? *m_observedId + 1 : event.id;
  const auto fault =
    event.fault == EventStreamFault::None && event.id != expected
      ? EventStreamFault::OutOfOrder
      : event.fault;
  if (event.fault == EventStreamFault::None) {
    m_observedId = event.id;
  }
  const bool isFirstIrregular = m_irregular.fault == EventStreamFault::None;
  if (fault != EventStreamFault::None && isFirstIrregular) {
    m_irregular = { fault,
                    m_eventCount,
                    std::string(aEvent.substr(0, kMaxExcerptBytes)) };
  }
}

void
EventStreamFilter::Resume()
{
  m_pending.clear();
  m_fault = EventStreamFault::None;
  m_resumed = true;
}

}
