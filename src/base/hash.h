#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace hemlockgauge::base {

//! 32-bit xxHash of a name; all hosts compute the same value.
std::uint32_t
HashName(std::string_view aName);

//! Hashes an ordered pair of 32-bit values, for rendezvous hashing.
std::uint64_t
HashPair(std::uint32_t aFirst, std::uint32_t aSecond);

//! 64-bit xxHash of several texts in order. The boundaries between the texts
//! are part of the hash: ("ab", "c") and ("a", "bc") differ.
std::uint64_t
HashFields(std::initializer_list<std::string_view> aFields);

}
