#include "gateway/eventstreamfilter.h"

namespace hemlockgauge::gateway {

namespace {

//! Bytes of an event at fault that are kept for the log.
constexpr std::size_t kMaxExcerptBytes = 64;
//! A larger buffer is not kept for the next event.
constexpr std::size_t kMaxKeptCapacity = 4096;

}

void
EventStreamFilter::ResumeAfter(std::uint64_t aLastId)
{
  m_lastId = aLastId;
}

bool
EventStreamFilter::Consume(std::string_view aBytes, std::string& aOut)
{
  //! NOTE bytes are copied only if part of an event is pending, as most reads
  //! hold complete events.
  const bool wasPending = !m_pending.empty();
  if (wasPending) {
    m_pending += aBytes;
    aBytes = m_pending;
  }
  const bool isSound = HandleEvents(aBytes, aOut);
  if (!isSound || aBytes.empty()) {
    DropPending();
  } else if (wasPending) {
    m_pending.erase(0, m_pending.size() - aBytes.size());
  } else {
    m_pending = aBytes;
  }
  return isSound;
}

//! Handles the complete events at the begin of aBytes and removes them from it.
//! Returns false if there is a fault.
bool
EventStreamFilter::HandleEvents(std::string_view& aBytes, std::string& aOut)
{
  while (!aBytes.empty()) {
    const auto end = m_endFinder.Find(aBytes);
    if (end == std::string_view::npos) {
      if (aBytes.size() > kMaxEventBytes) {
        SetFault(EventStreamFault::TooLong, aBytes);
        return false;
      }
      return true;
    }
    if (!HandleEvent(aBytes.substr(0, end), aOut)) {
      return false;
    }
    aBytes.remove_prefix(end);
  }
  return true;
}

//! Whether an event with this id may come next in the current run. A resumed
//! run may begin with events that the caller already has.
bool
EventStreamFilter::ContinuesRun(std::uint64_t aId) const
{
  return m_lastIdOfRun ? aId == *m_lastIdOfRun + 1
                       : aId > 0 && aId <= m_lastId + 1;
}

bool
EventStreamFilter::HandleEvent(std::string_view aEvent, std::string& aOut)
{
  const auto event = ParseStreamEvent(aEvent);
  if (event.fault != EventStreamFault::None) {
    SetFault(event.fault, aEvent);
    return false;
  }
  if (!ContinuesRun(event.id)) {
    SetFault(EventStreamFault::OutOfOrder, aEvent);
    return false;
  }
  m_lastIdOfRun = event.id;
  if (event.id <= m_lastId) {
    return true; // repeated by the resumed run
  }
  m_lastId = event.id;
  m_eventCount++;
  aOut += aEvent;
  return true;
}

void
EventStreamFilter::SetFault(EventStreamFault aFault, std::string_view aBytes)
{
  m_fault = aFault;
  m_faultExcerpt = aBytes.substr(0, kMaxExcerptBytes);
}

void
EventStreamFilter::DropPending()
{
  m_pending.clear();
  if (m_pending.capacity() > kMaxKeptCapacity) {
    m_pending.shrink_to_fit();
  }
  m_endFinder.Reset();
}

void
EventStreamFilter::Resume()
{
  DropPending();
  m_fault = EventStreamFault::None;
  m_lastIdOfRun.reset();
}

}
