#pragma once

#include "decision/decisiontypes.h"

#include <map>
#include <vector>

namespace hemlockgauge::decision {

//! Holds the entry with the highest revision of each host.
class HostTable
{
public:
  //! Adds or replaces an entry; returns false if it is not newer.
  bool Merge(const HostEntry& aEntry);

  const HostEntry* FindRouter(RouterId aRouter) const;
  const HostEntry* FindUpstream(UpstreamId aUpstream) const;
  const std::map<RouterId, HostEntry>& Routers() const { return m_routers; }
  const std::map<UpstreamId, HostEntry>& Upstreams() const
  {
    return m_upstreams;
  }
  std::vector<HostEntry> All() const;
  //! Identical on routers with the same entries.
  std::uint32_t Digest() const { return m_digest; }

private:
  std::map<RouterId, HostEntry> m_routers;
  std::map<UpstreamId, HostEntry> m_upstreams;
  std::uint32_t m_digest = 0;
};

}
