#pragma once

#include <cstdint>
#include <string>

namespace hemlockgauge::standins {

//! Token aIndex of the answer to aSeed; the same for engine and caller.
std::string
ExpectedToken(std::uint64_t aSeed, std::uint64_t aIndex);

//! The whole answer of the plain service to aSeed.
std::string
ExpectedPlainAnswer(std::uint64_t aSeed);

}
