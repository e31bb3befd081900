#pragma once

#include <string>
#include <string_view>

namespace hemlockgauge::traffic {

//! SHA-256 in lower-case hexadecimal.
std::string
Sha256Hex(std::string_view aText);

}
