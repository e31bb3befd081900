#pragma once

#include "fleet/telling.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlockgauge::gateway {

std::vector<std::uint8_t>
EncodeTelling(const fleet::Telling& aTelling);

//! Throws Error(BadFrame) unless the bytes hold a telling.
fleet::Telling
DecodeTelling(const std::uint8_t* aBytes, std::size_t aSize);

}
