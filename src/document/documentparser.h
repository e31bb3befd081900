#pragma once

#include "document/documenttypes.h"

#include <string>
#include <string_view>

namespace hemlockgauge::document {

//! Largest document, the largest value the configuration service holds.
inline constexpr std::size_t kMaxDocumentBytes = 1 << 20;

//! Reads and validates a service document. The verdict depends on the text
//! alone, so every router and the command line come to the same one.
//! Throws Error with file, line, key and what was expected.
ServiceDocument
ParseDocument(const std::string& aFile, std::string_view aText);

}
