#pragma once

#include <cstdint>

namespace hemlockgauge::eventloop {

//! Receives the events of descriptors registered with an EventLoop.
class IIoHandler
{
public:
  virtual ~IIoHandler() = default;

  //! aEvents is a set of epoll's flags (EPOLLIN, EPOLLOUT, ...).
  virtual void OnIo(std::uint32_t aEvents) = 0;
  //! An exception left OnIo. A connection closes; the loop goes on.
  virtual void OnIoFailed() {}
};

}
