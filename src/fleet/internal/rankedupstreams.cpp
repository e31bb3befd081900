#include "fleet/rankedupstreams.h"

#include "base/hash.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! How many upstreams are sorted at first. Covers the candidates of a placement
//! if few upstreams are excluded.
constexpr std::size_t kFirstBatch = 12;

}

//! Folds aKey to 32 bits and hashes it together with the upstream.
std::uint64_t
RankHash(std::uint64_t aKey, UpstreamId aUpstream)
{
  const auto low = static_cast<std::uint32_t>(aKey);
  const auto high = static_cast<std::uint32_t>(aKey >> 32);
  return base::HashPair(low ^ (high * 0x85ebca6bU), base::Raw(aUpstream));
}

RankedUpstreams::RankedUpstreams(const std::vector<UpstreamId>& aUpstreams,
                                 std::uint64_t aKey)
{
  m_order.reserve(aUpstreams.size());
  for (const auto id : aUpstreams) {
    m_order.emplace_back(RankHash(aKey, id), id);
  }
}

//! Sorts twice as many upstreams as before.
void
RankedUpstreams::SortMore()
{
  const auto begin = m_order.begin() + static_cast<std::ptrdiff_t>(m_sorted);
  const auto size =
    std::min(std::max(2 * m_sorted, kFirstBatch), m_order.size());
  const auto end = m_order.begin() + static_cast<std::ptrdiff_t>(size);
  std::nth_element(begin, end, m_order.end());
  std::sort(begin, end);
  m_sorted = size;
}

std::optional<UpstreamId>
RankedUpstreams::Next()
{
  if (m_next == m_order.size()) {
    return {};
  }
  if (m_next == m_sorted) {
    SortMore();
  }
  return m_order[m_next++].second;
}

}
