#pragma once

#include "fleet/news.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace hemlockgauge::gateway {

using NewsMessage = std::variant<fleet::NewsAsk, fleet::News>;

//! A configuration may be a megabyte; upstreams are some hundred bytes each.
inline constexpr std::size_t kMostNewsBytes = 4U << 20;

std::vector<std::uint8_t>
EncodeNews(const NewsMessage& aMessage);

//! Throws Error(BadFrame) unless the bytes hold a message.
NewsMessage
DecodeNews(const std::vector<std::uint8_t>& aBytes);

}
