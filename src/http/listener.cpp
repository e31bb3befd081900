#include "http/listener.h"

#include "base/error.h"
#include "eventloop/eventloop.h"
#include "eventloop/socketoptions.h"

#include <ace/INET_Addr.h>

#include <sys/epoll.h>
#include <sys/socket.h>

namespace hemlockgauge::http {

namespace {

//! Connections accepted per event, so that one listener cannot starve the
//! rest of the loop.
constexpr int kMaxAcceptsPerEvent = 64;

}

Listener::Listener(eventloop::EventLoop& aLoop,
                   const base::Address& aAddress,
                   OnConnection aOnConnection,
                   std::size_t aBacklog)
  : m_loop(aLoop)
  , m_onConnection(std::move(aOnConnection))
{
  const ACE_INET_Addr address(aAddress.port, aAddress.ip.c_str());
  const auto backlog = static_cast<int>(aBacklog);
  if (m_acceptor.open(address, 1, PF_INET, backlog) == -1) {
    throw base::Error(base::ErrorCode::Unreachable,
                      aAddress.Text() + ": cannot listen on this address");
  }
  m_acceptor.enable(ACE_NONBLOCK);
  // Accepted connections inherit these options, which saves two system calls
  // per connection under a flood.
  eventloop::SetCallerOptions(m_acceptor);
  m_loop.Add(m_acceptor.get_handle(), *this, EPOLLIN);
  m_open = true;
}

Listener::~Listener()
{
  Close();
}

void
Listener::Close()
{
  if (m_open) {
    m_open = false;
    m_loop.Remove(m_acceptor.get_handle());
    m_acceptor.close();
  }
}

void
Listener::Pause(bool aPaused)
{
  if (!m_open || aPaused == m_paused) {
    return;
  }
  m_paused = aPaused;
  m_loop.Modify(m_acceptor.get_handle(), aPaused ? 0U : EPOLLIN);
}

void
Listener::OnIo(std::uint32_t)
{
  for (int i = 0; i < kMaxAcceptsPerEvent && m_open && !m_paused; ++i) {
    // ACE would need a second system call to make the socket non-blocking.
    const int accepted = accept4(
      m_acceptor.get_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted == -1) {
      return;
    }
    m_onConnection(ACE_SOCK_Stream(accepted));
  }
}

}
