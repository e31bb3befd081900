#pragma once

#include <cstdint>

namespace hemlockgauge::eventloop {

//! Told when a descriptor that it registered is ready.
class IIoHandler
{
public:
  virtual ~IIoHandler() = default;

  //! aEvents is a set of epoll's flags (EPOLLIN, EPOLLOUT, ...).
  virtual void OnIo(std::uint32_t aEvents) = 0;
};

}
