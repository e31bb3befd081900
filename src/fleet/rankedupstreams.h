#pragma once

#include "fleet/fleettypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace hemlockgauge::fleet {

//! Returns the hash by which aKey ranks an upstream; the least ranks first.
std::uint64_t
RankHash(std::uint64_t aKey, UpstreamId aUpstream);

//! Iterates over upstreams in the order of rendezvous hashing of a key. Hashes
//! all of them at construction, but sorts only as many as are asked for.
class RankedUpstreams
{
public:
  RankedUpstreams(const std::vector<UpstreamId>& aUpstreams,
                  std::uint64_t aKey);

  //! Returns the next upstream, or nothing after the last one.
  std::optional<UpstreamId> Next();

private:
  void SortMore();

  std::vector<std::pair<std::uint64_t, UpstreamId>> m_order;
  std::size_t m_sorted = 0; //!< the first of m_order that are in their order
  std::size_t m_next = 0;   //!< index into m_order
};

}
