#pragma once

#include "fleet/fleettypes.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hemlockgauge::fleet {

//! Finds the route of a request: the one of its host with the longest matching
//! path prefix. The lookup time grows with the depth of the longest prefix, not
//! with that of the path or with the number of routes.
class RouteTable
{
public:
  explicit RouteTable(ConfigPtr aConfig);

  //! Returns null if no route matches. aHost may contain a port, which is
  //! ignored.
  const Route* Match(std::string_view aHost, std::string_view aPath) const;
  const ConfigPtr& Config() const { return m_config; }

private:
  ConfigPtr m_config;
  std::unordered_map<std::string, const Route*> m_routes;
  std::size_t m_longestPrefix = 0; //!< bytes
};

//! Chooses a service of aRoute by weight. The same aKey always gets the same
//! service while the route is unchanged. Returns null if the route has no
//! services.
const std::string*
ChooseService(const Route& aRoute, std::uint64_t aKey);

}
