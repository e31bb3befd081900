#include "eventloop/socketoptions.h"

#include <ace/SOCK.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hemlockgauge::eventloop {

namespace {

//! TCP_USER_TIMEOUT: maximum time in ms until sent data is acknowledged.
//! Longer than any packet loss that a link recovers from by itself.
constexpr int kPeerTimeoutMs = 1500;
constexpr int kCallerTimeoutMs = 5000;
//! TCP keep-alive: the idle time in seconds before the first probe, the
//! interval in seconds between probes, and the number of unanswered probes
//! after which the connection is dropped.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveCount = 2;

void
SetIntOption(ACE_SOCK& aSocket, int aLevel, int aOption, int aValue)
{
  aSocket.set_option(aLevel, aOption, &aValue, sizeof(aValue));
}

}

void
SetPeerOptions(ACE_SOCK& aSocket)
{
  SetIntOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetIntOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kPeerTimeoutMs);
  SetIntOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetIntOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  SetIntOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetIntOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveCount);
}

void
SetCallerOptions(ACE_SOCK& aSocket)
{
  SetIntOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetIntOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kCallerTimeoutMs);
}

}
