#pragma once

#include "base/address.h"
#include "eventloop/iiohandler.h"

#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include <cstdint>
#include <functional>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::http {

//! Accepts TCP connections and hands each over, non-blocking.
class Listener : public eventloop::IIoHandler
{
public:
  //! aCaller: the other end's IPv4 address, in host order.
  using OnConnection =
    std::function<void(const ACE_SOCK_Stream& aStream, std::uint32_t aCaller)>;

  //! Throws Error(Unreachable) if the address can't be listened on.
  Listener(eventloop::EventLoop& aLoop,
           const base::Address& aAddress,
           OnConnection aOnConnection);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Close();
  bool IsOpen() const { return m_open; }

  void OnIo(std::uint32_t aEvents) override;

private:
  eventloop::EventLoop& m_loop;
  OnConnection m_onConnection;
  ACE_SOCK_Acceptor m_acceptor;
  bool m_open = false;
};

}
