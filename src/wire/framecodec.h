#pragma once

#include "decision/decisiontypes.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace hemlockgauge::wire {

//! Maximum size of an encoded frame, bytes: room for a document of one megabyte
//! and the other fields.
inline constexpr std::size_t kMaxFrameBytes = 4 << 20;

//! Encodes a frame as a FlatBuffer, without a length prefix.
std::vector<std::uint8_t>
EncodeFrame(const decision::Frame& aFrame);

//! Decodes a FlatBuffer. Throws Error(BadFrame) if it is too long, fails
//! verification, or contains an unknown enum value or an invalid IP address.
decision::Frame
DecodeFrame(std::span<const std::uint8_t> aBytes);

}
