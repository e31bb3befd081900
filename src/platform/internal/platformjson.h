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

//! These throw Error(BadSyntax) on anything but what they expect.
DocumentList
ParseDocumentList(const std::string& aText);
decision::HostsRead
ParseHostList(const std::string& aText);
decision::LoadReported
ParseLoad(decision::UpstreamId aUpstream, const std::string& aText);

}
