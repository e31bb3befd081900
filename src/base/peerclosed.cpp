#include "base/peerclosed.h"

#include <poll.h>

namespace hemlockgauge::base {

bool
HasPeerClosed(int aSocket)
{
  pollfd state{ aSocket, POLLRDHUP, 0 };
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}
