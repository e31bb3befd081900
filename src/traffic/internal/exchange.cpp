#include "traffic/internal/exchange.h"

#include "base/peerclosed.h"

#include <microhttpd.h>

#include <algorithm>
#include <cstring>

#include <fmt/format.h>

namespace hemlockgauge::traffic {

Exchange::Exchange(CallerRequest aRequest)
  : m_request(std::move(aRequest))
  , m_bufferShare(m_request.memoryShare.Budget())
{
}

bool
Exchange::AwaitHead(MHD_Connection* aConnection, AnswerHead& aHead)
{
  const std::lock_guard lock(m_mutex);
  m_connection = aConnection;
  if (m_hasHead || m_failed) {
    aHead = m_head;
    return true;
  }
  m_suspended = true;
  MHD_suspend_connection(aConnection);
  return false;
}

Exchange::ReadResult
Exchange::ReadBody(char* aBuffer,
                   std::size_t aMaxBytes,
                   std::size_t& aBytesRead)
{
  std::function<void()> onDrained;
  ReadResult result = ReadResult::Some;
  {
    const std::lock_guard lock(m_mutex);
    const auto left = m_buffer.size() - m_start;
    aBytesRead = std::min(aMaxBytes, left);
    if (aBytesRead > 0) {
      std::memcpy(aBuffer, m_buffer.data() + m_start, aBytesRead);
      m_start += aBytesRead;
      if (m_start == m_buffer.size()) {
        m_buffer.clear();
        m_start = 0;
      }
      if (m_full && m_buffer.size() - m_start < kLowWatermark) {
        m_full = false;
        onDrained = m_onDrained;
      }
    } else if (m_failed) {
      result = ReadResult::Failed;
    } else if (m_ended) {
      result = ReadResult::End;
    } else {
      m_suspended = true;
      MHD_suspend_connection(m_connection);
      result = ReadResult::Wait;
    }
  }
  if (onDrained) {
    onDrained();
  }
  return result;
}

bool
Exchange::CallerEnded()
{
  const std::lock_guard lock(m_mutex);
  m_connection = nullptr;
  m_suspended = false;
  const bool early = !m_ended && !m_failed;
  const bool unread = m_start < m_buffer.size();
  m_callerGone = m_callerGone || early || unread;
  return early;
}

bool
Exchange::DetectCallerHangup()
{
  const std::lock_guard lock(m_mutex);
  if (!m_suspended || m_connection == nullptr || m_callerGone) {
    return false;
  }
  const auto* info =
    MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == nullptr) {
    return false;
  }
  const bool gone = base::HasPeerClosed(info->connect_fd);
  if (gone) {
    m_callerGone = true;
    m_failed = true;
    ResumeLocked();
  }
  return gone;
}

void
Exchange::SetDrainedCallback(std::function<void()> aCallback)
{
  const std::lock_guard lock(m_mutex);
  m_onDrained = std::move(aCallback);
}

void
Exchange::ResumeLocked()
{
  if (m_suspended && m_connection != nullptr) {
    m_suspended = false;
    MHD_resume_connection(m_connection);
  }
}

void
Exchange::SetHead(const AnswerHead& aHead)
{
  const std::lock_guard lock(m_mutex);
  if (m_hasHead) {
    return;
  }
  m_head = aHead;
  m_hasHead = true;
  ResumeLocked();
}

bool
Exchange::Append(std::string_view aBytes)
{
  const std::lock_guard lock(m_mutex);
  // A caller that always leaves some bytes unread must not make it grow.
  if (m_start > kLowWatermark) {
    m_buffer.erase(0, m_start);
    m_start = 0;
  }
  m_buffer.append(aBytes);
  m_bufferShare.Set(m_buffer.capacity());
  const auto watermark = m_bufferShare.IsTight() ? 0 : kHighWatermark;
  m_full = m_full || m_buffer.size() - m_start > watermark;
  ResumeLocked();
  return !m_full;
}

void
Exchange::End()
{
  const std::lock_guard lock(m_mutex);
  m_ended = true;
  ResumeLocked();
}

void
Exchange::Abort()
{
  const std::lock_guard lock(m_mutex);
  m_failed = true;
  ResumeLocked();
}

void
Exchange::Refuse(const Refusal& aRefusal)
{
  const std::lock_guard lock(m_mutex);
  if (m_hasHead) {
    m_failed = true;
    ResumeLocked();
    return;
  }
  m_head.status = aRefusal.status;
  m_head.contentType = "application/json";
  m_head.reason = aRefusal.reason;
  m_head.verdict = aRefusal.verdict;
  m_head.retryAfter = aRefusal.retryAfter;
  m_buffer =
    fmt::format("{{\"error\":\"{}\",\"verdict\":\"{}\",\"request\":\"{}\"}}\n",
                aRefusal.reason,
                base::kVerdictNames.NameOf(aRefusal.verdict),
                m_request.idText);
  m_hasHead = true;
  m_ended = true;
  ResumeLocked();
}

std::size_t
Exchange::BufferBytes() const
{
  const std::lock_guard lock(m_mutex);
  return m_buffer.capacity();
}

bool
Exchange::HasHead() const
{
  const std::lock_guard lock(m_mutex);
  return m_hasHead;
}

}
