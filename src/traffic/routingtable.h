#pragma once

#include "document/documenttypes.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockgauge::traffic {

using ServicePtr = std::shared_ptr<const document::ServiceDocument>;

//! A workspace that owns an API key in one service.
struct KeyOwner
{
  ServicePtr service;
  const document::Workspace* workspace = nullptr;
};

//! Immutable lookup table of the API keys and path prefixes of all service
//! documents in force.
class RoutingTable
{
public:
  explicit RoutingTable(const std::map<std::string, ServicePtr>& aServices);

  //! Returns the service with the longest matching path prefix; null if none
  //! matches.
  ServicePtr MatchPath(std::string_view aPath) const;
  //! Returns all owners of the key with this SHA-256 (hexadecimal).
  const std::vector<KeyOwner>& FindKeyOwners(const std::string& aDigest) const;
  //! Whether requests to aPath are idempotent according to the document.
  static bool IsRepeatable(const document::ServiceDocument& aService,
                           std::string_view aPath);

private:
  std::vector<ServicePtr> m_services;
  std::unordered_map<std::string, std::vector<KeyOwner>> m_keys;
};

}
