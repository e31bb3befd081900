#include "base/boundedsink.h"

#include "base/monotonicclock.h"

#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace hemlockgauge::base {

BoundedSink::BoundedSink(int aDescriptor,
                         std::size_t aMaxPendingBytes,
                         double aMaxLinesPerSecond)
  : m_descriptor(aDescriptor)
  , m_maxPendingBytes(aMaxPendingBytes)
  , m_lineBudget(aMaxLinesPerSecond)
{
}

void
BoundedSink::sink_it_(const spdlog::details::log_msg& aMessage)
{
  if (m_pending.size() > m_maxPendingBytes ||
      !m_lineBudget.Take(MonotonicNow())) {
    m_dropped++;
    m_unreportedDrops++;
    return;
  }
  spdlog::memory_buf_t line;
  formatter_->format(aMessage, line);
  m_pending.append(line.data(), line.size());
}

void
BoundedSink::Write(int aTimeoutMs)
{
  const std::lock_guard lock(mutex_);
  if (m_unreportedDrops > 0 && m_pending.size() <= m_maxPendingBytes) {
    m_pending += fmt::format("level=warning event=log-lines-dropped count={}\n",
                             m_unreportedDrops);
    m_unreportedDrops = 0;
  }
  std::size_t written = 0;
  while (written < m_pending.size()) {
    pollfd ready{ m_descriptor, POLLOUT, 0 };
    if (poll(&ready, 1, aTimeoutMs) <= 0 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    const auto size =
      std::min<std::size_t>(m_pending.size() - written, PIPE_BUF);
    const auto result = write(m_descriptor, m_pending.data() + written, size);
    if (result <= 0) {
      break;
    }
    written += static_cast<std::size_t>(result);
  }
  m_pending.erase(0, written);
}

}
