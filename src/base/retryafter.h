#pragma once

#include "base/basetypes.h"

#include <string_view>

namespace hemlockgauge::base {

//! Parses the value of a Retry-After header field: a number of seconds, which
//! may have a fraction. Rounds up to milliseconds. Returns 0 if the value is
//! invalid, not positive or longer than a day.
Duration
ParseRetryAfter(std::string_view aText);

}
