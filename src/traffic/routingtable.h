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

//! A workspace a key belongs to, in one service.
struct KeyOwner
{
  ServicePtr service;
  const document::Workspace* workspace = nullptr;
};

//! Keys and paths of all documents in force; never changed once built.
class RoutingTable
{
public:
  explicit RoutingTable(const std::map<std::string, ServicePtr>& aServices);

  //! The service with the longest prefix of the path; null if none.
  ServicePtr MatchPath(std::string_view aPath) const;
  //! Every workspace that holds this key, by hexadecimal SHA-256.
  const std::vector<KeyOwner>& OwnersOf(const std::string& aDigest) const;
  static bool IsRepeatable(const document::ServiceDocument& aService,
                           std::string_view aPath);

private:
  std::vector<ServicePtr> m_services;
  std::unordered_map<std::string, std::vector<KeyOwner>> m_keys;
};

}
