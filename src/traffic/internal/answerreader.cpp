#include "traffic/internal/answerreader.h"

#include "http/eventfields.h"

namespace hemlockgauge::traffic {

namespace {

constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::string_view kLastEventType = "done";

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
  if (m_done) {
    return true;
  }
  m_pending.append(aBytes);
  std::string_view rest = m_pending;
  while (!m_done) {
    const auto end = m_endFinder.Find(rest);
    if (end == std::string_view::npos) {
      break;
    }
    if (end > kMaxEventBytes || !ConsumeEvent(rest.substr(0, end), aOut)) {
      return false;
    }
    rest.remove_prefix(end);
  }
  m_pending.erase(0,
                  m_done ? m_pending.size() : m_pending.size() - rest.size());
  return m_pending.size() <= kMaxEventBytes;
}

bool
EventStreamAnswer::ConsumeEvent(std::string_view aEvent, std::string& aOut)
{
  if (http::IsEventComment(aEvent)) {
    m_progress++; // sent as keep-alive
    return true;
  }
  const auto fields = http::ParseEventFields(aEvent);
  if (!fields || !fields->id || !fields->hasData || fields->hasSeveralIds ||
      fields->hasSeveralTypes || (fields->type && fields->type->empty())) {
    return false;
  }
  const auto offset = ParseOffset(*fields->id);
  if (!offset || *offset > m_nextOffset) {
    return false;
  }
  m_progress++;
  if (*offset < m_nextOffset) {
    return true; // already forwarded before the stream was resumed
  }
  m_done = fields->type == kLastEventType;
  m_nextOffset += m_done ? 0 : 1;
  aOut.append(aEvent);
  return true;
}

//! The offset in an id ("REQUEST/OFFSET") of this request.
std::optional<std::uint64_t>
EventStreamAnswer::ParseOffset(std::string_view aId) const
{
  const auto slash = aId.rfind('/');
  if (slash == std::string_view::npos || aId.substr(0, slash) != m_requestId) {
    return std::nullopt;
  }
  return http::ParseEventNumber(aId.substr(slash + 1));
}

}
