#pragma once

class ACE_SOCK;

namespace hemlockgauge::eventloop {

//! Sets the options of a connection that this program opened, or of one
//! between routers: no delay of small messages, and keep-alive, so that a peer
//! without power or network is detected within about two seconds, also while
//! the connection is idle.
void
SetPeerOptions(ACE_SOCK& aSocket);

//! Sets the options of callers' connections, on the listening socket. A caller
//! that has vanished is detected only after data is sent to it.
void
SetCallerOptions(ACE_SOCK& aSocket);

}
