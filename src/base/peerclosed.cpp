#include "base/peerclosed.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace hemlockgauge::base {

bool
HasPeerClosed(int aSocket)
{
  char byte = 0;
  const auto received = recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received <= 0) {
    return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
  // Unread bytes hide whether the connection has ended.
  pollfd state{ aSocket, POLLRDHUP, 0 };
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}
