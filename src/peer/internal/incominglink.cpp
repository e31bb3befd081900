#include "peer/internal/incominglink.h"

#include "base/error.h"

#include <ace/Reactor.h>

#include <array>
#include <cerrno>

namespace hemlockgauge::peer {

namespace {

constexpr std::size_t kReadBufferBytes = 16384;
constexpr std::uint8_t kAcknowledgement = 1;

}

IncomingLink::IncomingLink(
  ACE_Reactor& aReactor,
  std::function<void(const std::vector<std::uint8_t>&)> aOnFrame,
  std::function<void()> aOnBadFrame)
  : m_reactor(aReactor)
  , m_onFrame(std::move(aOnFrame))
  , m_onBadFrame(std::move(aOnBadFrame))
{
}

bool
IncomingLink::Open()
{
  m_stream.enable(ACE_NONBLOCK);
  return m_reactor.register_handler(this, READ_MASK) == 0;
}

void
IncomingLink::Close()
{
  if (m_closed) {
    return;
  }
  m_reactor.remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
  m_stream.close();
  m_closed = true;
}

ACE_HANDLE
IncomingLink::get_handle() const
{
  return m_stream.get_handle();
}

int
IncomingLink::handle_input(ACE_HANDLE)
{
  std::array<std::uint8_t, kReadBufferBytes> bytes;
  const auto got = m_stream.recv(bytes.data(), bytes.size());
  if (got == -1 && errno == EWOULDBLOCK) {
    return 0;
  }
  if (got <= 0) {
    return -1;
  }
  try {
    m_buffer.Append({ bytes.data(), static_cast<std::size_t>(got) });
    std::vector<std::uint8_t> frame;
    while (m_buffer.Next(frame)) {
      m_onFrame(frame);
      m_stream.send(&kAcknowledgement, 1);
    }
  } catch (const base::Error&) {
    m_onBadFrame();
    return -1;
  }
  return 0;
}

int
IncomingLink::handle_close(ACE_HANDLE, ACE_Reactor_Mask)
{
  m_stream.close();
  m_closed = true;
  return 0;
}

}
