#pragma once

#include "document/documenttypes.h"

#include <string>
#include <string_view>

namespace hemlockgauge::document {

//! Reads a router's settings; throws Error with file, line, key and what
//! was expected.
RouterSettings
ParseSettings(const std::string& aFile, std::string_view aText);

//! The whole text of a file; throws Error(Unreachable) if it can't be read.
std::string
ReadTextFile(const std::string& aFile);

}
