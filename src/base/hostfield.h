#pragma once

#include <optional>
#include <string_view>

namespace hemlockgauge::base {

//! Returns the name or address in a Host field without its port, an IPv6
//! address with its brackets (RFC 9110, section 7.2). Empty if the field is
//! malformed, which includes one without a name.
std::optional<std::string_view>
ParseHostField(std::string_view aField);

}
