#pragma once

#include "document/documenttypes.h"

#include <string>
#include <string_view>

namespace hemlockgauge::document {

//! Maximum size of a document: the largest value that the configuration
//! service can store.
inline constexpr std::size_t kMaxDocumentBytes = 1 << 20;

//! Parses and validates a service document. The result depends only on the
//! text, so every router and the command line tool accept the same documents.
//! Throws Error with file, line, key and expected value.
ServiceDocument
ParseDocument(const std::string& aFile, std::string_view aText);

}
