#pragma once

#include <string>
#include <string_view>

namespace hemlockgauge::traffic {

//! Returns the SHA-256 digest of aText in lower-case hexadecimal.
std::string
Sha256Hex(std::string_view aText);

}
