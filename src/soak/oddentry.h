#pragma once

#include "base/basetypes.h"

#include <cstdint>
#include <string>

namespace hemlockgauge::soak {

//! Content of a store entry of an upstream from which no upstream can be made.
//! aNumber chooses what is odd about it.
std::string
OddEntryText(std::uint32_t aNumber);

}
