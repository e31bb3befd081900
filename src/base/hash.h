#pragma once

#include <cstdint>
#include <string_view>

namespace hemlockgauge::base {

//! 32-bit xxHash of a name; the same on every host.
std::uint32_t
HashName(std::string_view aName);

//! Mixes two 32-bit values for rendezvous hashing.
std::uint64_t
HashPair(std::uint32_t aFirst, std::uint32_t aSecond);

}
