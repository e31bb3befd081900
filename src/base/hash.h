#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace hemlockgauge::base {

//! 32-bit xxHash of a name; the same on every host.
std::uint32_t
HashName(std::string_view aName);

//! Mixes two 32-bit values for rendezvous hashing.
std::uint64_t
HashPair(std::uint32_t aFirst, std::uint32_t aSecond);

//! 64-bit xxHash of several texts in order; where one ends and the next begins
//! counts.
std::uint64_t
HashFields(std::initializer_list<std::string_view> aFields);

}
