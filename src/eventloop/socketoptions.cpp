#include "eventloop/socketoptions.h"

#include <ace/SOCK.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hemlockgauge::eventloop {

namespace {

//! What is sent must be acknowledged within this, in ms: over the longest
//! loss of packets that a link recovers from by itself.
constexpr int kPeerTimeoutMs = 1500;
constexpr int kCallerTimeoutMs = 5000;
//! An idle peer is asked for a sign of life after this many seconds, again
//! each so many, and given up after so many.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveCount = 2;

void
Set(ACE_SOCK& aSocket, int aLevel, int aOption, int aValue)
{
  aSocket.set_option(aLevel, aOption, &aValue, sizeof(aValue));
}

}

void
SetPeerOptions(ACE_SOCK& aSocket)
{
  Set(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  Set(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kPeerTimeoutMs);
  Set(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveCount);
}

void
SetCallerOptions(ACE_SOCK& aSocket)
{
  Set(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  Set(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kCallerTimeoutMs);
}

}
