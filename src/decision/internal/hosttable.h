#pragma once

#include "decision/decisiontypes.h"

#include <map>
#include <vector>

namespace hemlockgauge::decision {

//! What the host list says of every host, the highest revision of each.
class HostTable
{
public:
  //! Returns whether the entry was news.
  bool Merge(const HostEntry& aEntry);

  const HostEntry* FindRouter(RouterId aRouter) const;
  const HostEntry* FindUpstream(UpstreamId aUpstream) const;
  const std::map<RouterId, HostEntry>& Routers() const { return m_routers; }
  const std::map<UpstreamId, HostEntry>& Upstreams() const
  {
    return m_upstreams;
  }
  std::vector<HostEntry> All() const;
  std::uint32_t Digest() const { return m_digest; }

private:
  std::map<RouterId, HostEntry> m_routers;
  std::map<UpstreamId, HostEntry> m_upstreams;
  std::uint32_t m_digest = 0;
};

}
