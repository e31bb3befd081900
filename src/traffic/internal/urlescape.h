#pragma once

#include <string>
#include <string_view>

namespace hemlockgauge::traffic {

//! Percent-encodes every byte except letters, digits, "-_.~" and the characters
//! in aAlsoSafe.
std::string
EscapeUrl(std::string_view aText, std::string_view aAlsoSafe);

}
