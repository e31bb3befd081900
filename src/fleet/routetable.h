#pragma once

#include "fleet/fleettypes.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace hemlockgauge::fleet {

//! Finds the route of a request: of the routes of its host, the one with
//! the longest prefix of its path. The time taken grows with the depth of
//! the path, not with the number of routes.
class RouteTable
{
public:
  explicit RouteTable(ConfigPtr aConfig);

  //! Null if there is none. aHost may carry a port.
  const Route* Match(std::string_view aHost, std::string_view aPath) const;
  const ConfigPtr& Config() const { return m_config; }

private:
  ConfigPtr m_config;
  std::unordered_map<std::string, const Route*> m_routes;
};

//! The service that a request of this route goes to. The same aKey always
//! gets the same service of one version of the route; null if none.
const std::string*
ChooseService(const Route& aRoute, std::uint64_t aKey);

}
