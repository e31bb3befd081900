#pragma once

#include "base/address.h"
#include "eventloop/iiohandler.h"

#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include <cstddef>
#include <functional>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::http {

//! Accepts TCP connections and passes each to a callback as a non-blocking
//! socket.
class Listener : public eventloop::IIoHandler
{
public:
  static constexpr std::size_t kDefaultBacklog = 1024;

  using OnConnection = std::function<void(const ACE_SOCK_Stream& aStream)>;

  //! aBacklog: the listen backlog. Connections beyond it are dropped, and the
  //! callers' kernels retry. Throws Error(Unreachable) if listening on
  //! the address fails.
  Listener(eventloop::EventLoop& aLoop,
           const base::Address& aAddress,
           OnConnection aOnConnection,
           std::size_t aBacklog = kDefaultBacklog);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Close();
  //! While paused, new connections wait in the listen backlog.
  void Pause(bool aPaused);
  bool IsPaused() const { return m_paused; }
  bool IsOpen() const { return m_open; }

  void OnIo(std::uint32_t aEvents) override;

private:
  eventloop::EventLoop& m_loop;
  OnConnection m_onConnection;
  ACE_SOCK_Acceptor m_acceptor;
  bool m_open = false;
  bool m_paused = false;
};

}
