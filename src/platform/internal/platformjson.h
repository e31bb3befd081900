#pragma once

#include "decision/decisiontypes.h"

#include <string>
#include <vector>

namespace hemlockgauge::platform {

struct DocumentList
{
  std::uint64_t version = 0;
  std::vector<decision::DocumentVersion> documents;
};

//! The parse functions throw Error(BadSyntax) on invalid JSON, missing fields
//! and unknown roles or states.
DocumentList
ParseDocumentList(const std::string& aText);
decision::HostsRead
ParseHostList(const std::string& aText);
decision::LoadReported
ParseLoad(decision::UpstreamId aUpstream, const std::string& aText);

}
