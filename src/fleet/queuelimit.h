#pragma once

#include <cstddef>

namespace hemlockgauge::fleet {

//! How many new connections may wait at a router to be accepted. Answers a
//! flood at a router that is slower than the flood: callers whose connections
//! are closed unread come back at once and use up its time, and a queue that
//! is longer than callers can wait makes all of them late. What does not fit
//! is dropped by the kernel, at no cost, and tried again later.
//! aProcessorShare: of a core.
std::size_t
QueueLimit(double aProcessorShare);

}
