#pragma once

#include "base/address.h"
#include "fleet/peerview.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace hemlockgauge::gateway {

//! A telling with the addresses of the routers that its sender heard.
struct TellingDatagram
{
  fleet::Telling telling;
  std::vector<base::Address> members;
};

std::vector<std::uint8_t>
EncodeTelling(const TellingDatagram& aDatagram);

//! Throws Error(BadFrame) unless the bytes hold a telling.
TellingDatagram
DecodeTelling(const std::uint8_t* aBytes, std::size_t aSize);

}
