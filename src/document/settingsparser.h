#pragma once

#include "document/documenttypes.h"

#include <string>
#include <string_view>

namespace hemlockgauge::document {

//! Parses a router's settings. Throws Error with file, line, key and expected
//! value.
RouterSettings
ParseSettings(const std::string& aFile, std::string_view aText);

//! Returns the contents of a file; throws Error(Unreachable) if it can't be
//! read.
std::string
ReadTextFile(const std::string& aFile);

}
