#pragma once

#include "decision/decisiontypes.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace hemlockgauge::wire {

//! Largest frame: a document of a megabyte and what goes with it.
inline constexpr std::size_t kMaxFrameBytes = 4 << 20;

std::vector<std::uint8_t>
EncodeFrame(const decision::Frame& aFrame);

//! Throws Error(BadFrame) unless the bytes pass the verifier and every
//! enumeration holds a known value.
decision::Frame
DecodeFrame(std::span<const std::uint8_t> aBytes);

}
