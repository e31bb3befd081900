#pragma once

#include "base/logratelimiter.h"

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace hemlockgauge::base {

//! Buffers log lines until Write passes them to a file descriptor without
//! blocking. Lines beyond the buffer size or the rate limit are dropped and
//! counted, and a separate log line reports the count. This way a log reader
//! that stops reading can't block a router.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  //! aMaxPendingBytes limits the buffer for a slow reader;
  //! aMaxLinesPerSecond limits the rate for every reader.
  BoundedSink(int aDescriptor,
              std::size_t aMaxPendingBytes,
              double aMaxLinesPerSecond);

  //! Writes the buffered lines. Waits up to aTimeoutMs milliseconds each time
  //! the descriptor is not writable; 0 does not wait.
  void Write(int aTimeoutMs = 0);
  //! Number of lines dropped so far.
  std::uint64_t Dropped() const { return m_dropped; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override {}

private:
  int m_descriptor;
  std::size_t m_maxPendingBytes;
  LogRateLimiter m_lineBudget;
  std::string m_pending;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_unreportedDrops = 0;
};

}
