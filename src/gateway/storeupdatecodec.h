#pragma once

#include "fleet/storeupdate.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace hemlockgauge::gateway {

//! A message between a StoreUpdateFollower and a StoreUpdateServer.
using StoreUpdateMessage =
  std::variant<fleet::StoreUpdateRequest, fleet::StoreUpdate>;

//! Maximum size of an encoded message. A configuration may take a megabyte;
//! upstreams take some hundred bytes each.
inline constexpr std::size_t kMaxStoreUpdateBytes = 4U << 20;

std::vector<std::uint8_t>
EncodeStoreUpdate(const StoreUpdateMessage& aMessage);

//! Throws Error(BadFrame) if the bytes are not a valid message.
StoreUpdateMessage
DecodeStoreUpdate(const std::vector<std::uint8_t>& aBytes);

}
