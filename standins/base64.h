#pragma once

#include <string>
#include <string_view>

namespace hemlockgauge::standins {

//! Standard base64 with padding.
std::string
EncodeBase64(std::string_view aBytes);

}
