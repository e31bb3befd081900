#pragma once

class ACE_SOCK;

namespace hemlockgauge::eventloop {

//! For a connection that this program opened, or one between routers: no
//! delay for small messages, and an end that has lost power or its way is
//! noticed within some two seconds, also while nothing is sent.
void
SetPeerOptions(ACE_SOCK& aSocket);

//! For callers' connections, set on their listener: a caller that is gone
//! is noticed once something is sent to it.
void
SetCallerOptions(ACE_SOCK& aSocket);

}
