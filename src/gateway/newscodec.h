#pragma once

#include "fleet/news.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace hemlockgauge::gateway {

//! A message between a NewsFollower and a NewsServer.
using NewsMessage = std::variant<fleet::NewsAsk, fleet::News>;

//! Maximum size of an encoded message. A configuration may take a megabyte;
//! upstreams take some hundred bytes each.
inline constexpr std::size_t kMaxNewsBytes = 4U << 20;

std::vector<std::uint8_t>
EncodeNews(const NewsMessage& aMessage);

//! Throws Error(BadFrame) if the bytes are not a valid message.
NewsMessage
DecodeNews(const std::vector<std::uint8_t>& aBytes);

}
