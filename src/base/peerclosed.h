#pragma once

namespace hemlockgauge::base {

//! Whether the peer has closed or reset the connection of a socket, also if
//! bytes that it sent before are still unread.
bool
HasPeerClosed(int aSocket);

}
