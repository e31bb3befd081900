#pragma once

#include "base/logbudget.h"

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace hemlockgauge::base {

//! Keeps log lines until Flush writes them to a descriptor, as many as it
//! takes without blocking. What does not fit, or is too much for a second, is
//! dropped, counted, and said so in a line of its own: a reader that stops
//! reading must not stop a router.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  //! aMostBytes: how much is kept for a reader that is slow;
  //! aMostPerSecond: lines, also for one that keeps up.
  BoundedSink(int aDescriptor, std::size_t aMostBytes, double aMostPerSecond);

  //! Waits at most aWaitMs for the reader; 0: not at all.
  void Write(int aWaitMs = 0);
  std::uint64_t Dropped() const { return m_dropped; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override {}

private:
  int m_descriptor;
  std::size_t m_mostBytes;
  LogBudget m_lines;
  std::string m_pending;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_droppedUnsaid = 0;
};

}
