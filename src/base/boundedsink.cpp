#include "base/boundedsink.h"

#include "base/monotonicclock.h"

#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace hemlockgauge::base {

BoundedSink::BoundedSink(int aDescriptor,
                         std::size_t aMostBytes,
                         double aMostPerSecond)
  : m_descriptor(aDescriptor)
  , m_mostBytes(aMostBytes)
  , m_lines(aMostPerSecond)
{
}

void
BoundedSink::sink_it_(const spdlog::details::log_msg& aMessage)
{
  if (m_pending.size() > m_mostBytes || !m_lines.Take(MonotonicNow())) {
    m_dropped++;
    m_droppedUnsaid++;
    return;
  }
  spdlog::memory_buf_t line;
  formatter_->format(aMessage, line);
  m_pending.append(line.data(), line.size());
}

void
BoundedSink::Write(int aWaitMs)
{
  const std::lock_guard lock(mutex_);
  if (m_droppedUnsaid > 0 && m_pending.size() <= m_mostBytes) {
    m_pending += fmt::format("level=warning event=log-lines-dropped count={}\n",
                             m_droppedUnsaid);
    m_droppedUnsaid = 0;
  }
  while (!m_pending.empty()) {
    pollfd ready{ m_descriptor, POLLOUT, 0 };
    if (poll(&ready, 1, aWaitMs) <= 0 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    //! NOTE a pipe that is ready takes this much without blocking.
    const auto size = std::min<std::size_t>(m_pending.size(), PIPE_BUF);
    const auto put = write(m_descriptor, m_pending.data(), size);
    if (put <= 0) {
      return;
    }
    m_pending.erase(0, static_cast<std::size_t>(put));
  }
}

}
