#pragma once

#include <cstdint>
#include <string>

namespace hemlockgauge::standins {

//! Returns token aIndex of the stream that the engine generates for aSeed. Load
//! generators call it as well, to verify the answers that they receive.
std::string
ExpectedToken(std::uint64_t aSeed, std::uint64_t aIndex);

//! Returns the complete answer body of the plain service for aSeed.
std::string
ExpectedPlainAnswer(std::uint64_t aSeed);

}
