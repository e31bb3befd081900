#include "fleet/routetable.h"

#include "base/hostfield.h"

#include <algorithm>
#include <cctype>

namespace hemlockgauge::fleet {

namespace {

//! Returns the host in lower case without its port; empty if it is malformed.
std::string
HostKey(std::string_view aHost)
{
  std::string key(base::ParseHostField(aHost).value_or(""));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return key;
}

}

RouteTable::RouteTable(ConfigPtr aConfig)
  : m_config(std::move(aConfig))
{
  m_routes.reserve(m_config->routes.size());
  for (const auto& route : m_config->routes) {
    m_routes[HostKey(route.host) + route.prefix] = &route;
    m_longestPrefix = std::max(m_longestPrefix, route.prefix.size());
  }
}

const Route*
RouteTable::Match(std::string_view aHost, std::string_view aPath) const
{
  auto key = HostKey(aHost);
  if (key.empty()) {
    return nullptr;
  }
  // Callers choose how many slashes a path has, and each is looked up.
  aPath = aPath.substr(0, m_longestPrefix);
  const auto hostSize = key.size();
  key += aPath;
  for (auto slash = aPath.rfind('/'); slash != std::string_view::npos;) {
    key.resize(hostSize + slash + 1);
    const auto found = m_routes.find(key);
    if (found != m_routes.end()) {
      return found->second;
    }
    slash = slash > 0 ? aPath.rfind('/', slash - 1) : std::string_view::npos;
  }
  return nullptr;
}

const std::string*
ChooseService(const Route& aRoute, std::uint64_t aKey)
{
  std::uint64_t total = 0;
  for (const auto& part : aRoute.split) {
    total += part.weight;
  }
  if (total == 0) {
    return aRoute.split.empty() ? nullptr : &aRoute.split.front().service;
  }
  auto offset = aKey % total;
  for (const auto& part : aRoute.split) {
    if (offset < part.weight) {
      return &part.service;
    }
    offset -= part.weight;
  }
  return &aRoute.split.back().service;
}

}
