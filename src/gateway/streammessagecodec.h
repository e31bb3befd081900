#pragma once

#include "fleet/streamtypes.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlockgauge::gateway {

//! Whether the bytes claim to be a stream message, and not a report.
bool
IsStreamMessage(const std::uint8_t* aBytes, std::size_t aSize);

//! Encodes a message as a FlatBuffers StreamMessage.
std::vector<std::uint8_t>
EncodeStreamMessage(const fleet::StreamMessage& aMessage);

//! Throws Error(BadFrame) if the bytes are not a valid message.
fleet::StreamMessage
DecodeStreamMessage(const std::uint8_t* aBytes, std::size_t aSize);

}
