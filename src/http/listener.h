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

//! Accepts TCP connections and hands each over, non-blocking.
class Listener : public eventloop::IIoHandler
{
public:
  static constexpr std::size_t kQueue = 1024;

  using OnConnection = std::function<void(const ACE_SOCK_Stream& aStream)>;

  //! aQueue: connections that may wait to be accepted; more are dropped, and
  //! the kernels of their callers try again. Throws Error(Unreachable) if the
  //! address can't be listened on.
  Listener(eventloop::EventLoop& aLoop,
           const base::Address& aAddress,
           OnConnection aOnConnection,
           std::size_t aQueue = kQueue);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Close();
  //! While paused, connections wait.
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
