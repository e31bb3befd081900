#pragma once

#include <cstddef>

namespace hemlockgauge::fleet {

//! Returns how many new connections may wait at a router to be accepted.
//! aProcessorShare is the router's share of a processor core.
//!
//! Under overload, callers whose connections are closed unread reconnect at
//! once and use up the router's time, and a queue longer than callers can wait
//! makes all of them late. The kernel drops connections beyond the limit at no
//! cost to the router, and callers retry them later.
std::size_t
AcceptQueueLimit(double aProcessorShare);

}
