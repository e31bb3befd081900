#pragma once

#include "decision/decisiontypes.h"

#include <string>
#include <tuple>
#include <vector>

namespace hemlockgauge::platform {

//! An entry of a list that cannot be used; the other entries still count.
struct RejectedEntry
{
  std::string name; //!< empty if the entry has no valid name
  std::string reason;

  bool operator<(const RejectedEntry& aOther) const
  {
    return std::tie(name, reason) < std::tie(aOther.name, aOther.reason);
  }
};

struct DocumentList
{
  std::uint64_t version = 0;
  std::vector<decision::DocumentVersion> documents;
  std::vector<RejectedEntry> rejected;
};

struct HostList
{
  decision::HostsRead read;
  std::vector<RejectedEntry> rejected;
};

//! The parse functions throw Error(BadSyntax) on invalid JSON and on missing or
//! invalid fields outside of entries. An entry with a missing or invalid field
//! is rejected alone.
DocumentList
ParseDocumentList(const std::string& aText);
HostList
ParseHostList(const std::string& aText);
decision::LoadReported
ParseLoad(decision::UpstreamId aUpstream, const std::string& aText);

}
