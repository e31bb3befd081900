#pragma once

#include <cstddef>

namespace hemlockgauge::base {

//! Resident memory of this process in bytes, from /proc/self/statm; 0 if it
//! can't be read.
std::size_t
ResidentBytes();

}
