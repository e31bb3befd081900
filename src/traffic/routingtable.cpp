#include "traffic/routingtable.h"

#include <algorithm>

namespace hemlockgauge::traffic {

namespace {

//! Matches whole path segments: "/chat" is a prefix of "/chat" and "/chat/x",
//! not of "/chatter".
bool
IsPathPrefix(std::string_view aPrefix, std::string_view aPath)
{
  if (!aPath.starts_with(aPrefix)) {
    return false;
  }
  return aPath.size() == aPrefix.size() || aPrefix.ends_with('/') ||
         aPath[aPrefix.size()] == '/';
}

}

RoutingTable::RoutingTable(const std::map<std::string, ServicePtr>& aServices)
{
  for (const auto& [name, service] : aServices) {
    m_services.push_back(service);
    for (const auto& workspace : service->workspaces) {
      for (const auto& key : workspace.keySha256) {
        m_keys[key].push_back({ service, &workspace });
      }
    }
  }
  std::stable_sort(m_services.begin(),
                   m_services.end(),
                   [](const ServicePtr& aLeft, const ServicePtr& aRight) {
                     return aLeft->pathPrefix.size() >
                            aRight->pathPrefix.size();
                   });
}

ServicePtr
RoutingTable::MatchPath(std::string_view aPath) const
{
  for (const auto& service : m_services) {
    if (IsPathPrefix(service->pathPrefix, aPath)) {
      return service;
    }
  }
  return nullptr;
}

const std::vector<KeyOwner>&
RoutingTable::FindKeyOwners(const std::string& aDigest) const
{
  static const std::vector<KeyOwner> kNone;
  const auto found = m_keys.find(aDigest);
  return found == m_keys.end() ? kNone : found->second;
}

bool
RoutingTable::IsRepeatable(const document::ServiceDocument& aService,
                           std::string_view aPath)
{
  return std::any_of(
    aService.repeatablePaths.begin(),
    aService.repeatablePaths.end(),
    [&](const std::string& aOne) { return IsPathPrefix(aOne, aPath); });
}

}
