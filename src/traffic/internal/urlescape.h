#pragma once

#include <string>
#include <string_view>

namespace hemlockgauge::traffic {

//! Percent-encodes all but letters, digits, "-_.~" and aAlsoSafe.
std::string
EscapeUrl(std::string_view aText, std::string_view aAlsoSafe);

}
