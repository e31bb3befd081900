#include "fleet/streamholders.h"

#include "base/hash.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

struct RankedMember
{
  std::uint64_t rank = 0;
  const FleetMember* member = nullptr;

  bool operator<(const RankedMember& aOther) const
  {
    return rank > aOther.rank;
  }
};

std::uint32_t
Fold(StreamId aStream)
{
  constexpr int kHalf = 32;
  const auto raw = base::Raw(aStream);
  return static_cast<std::uint32_t>(raw ^ (raw >> kHalf));
}

std::vector<RankedMember>
Rank(StreamId aStream, const std::vector<FleetMember>& aMembers)
{
  const auto key = Fold(aStream);
  std::vector<RankedMember> ranked;
  ranked.reserve(aMembers.size());
  for (const auto& member : aMembers) {
    ranked.push_back({ base::HashPair(member.hash, key), &member });
  }
  return ranked;
}

//! Moves the first member of another zone than the first one's to the second
//! place.
void
MoveOtherZoneForward(std::vector<RankedMember>& aRanked)
{
  if (aRanked.empty()) {
    return;
  }
  const auto zone = aRanked.front().member->zone;
  auto best = aRanked.end();
  for (auto it = aRanked.begin() + 1; it != aRanked.end(); ++it) {
    const bool isBetter = best == aRanked.end() || *it < *best;
    if (it->member->zone != zone && isBetter) {
      best = it;
    }
  }
  if (best == aRanked.end()) {
    return;
  }
  const auto other = *best;
  aRanked.erase(best);
  aRanked.insert(aRanked.begin() + 1, other);
}

}

std::vector<FleetMember>
StreamHolders(StreamId aStream,
              const std::vector<FleetMember>& aMembers,
              const base::Address& aSelf,
              std::size_t aCount)
{
  auto ranked = Rank(aStream, aMembers);
  // One more than asked for, as aSelf may be among them.
  const auto sorted = std::min(ranked.size(), aCount + 1);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(sorted),
                    ranked.end());
  MoveOtherZoneForward(ranked);
  std::vector<FleetMember> holders;
  for (const auto& one : ranked) {
    if (holders.size() >= aCount) {
      break;
    }
    if (!(one.member->address == aSelf)) {
      holders.push_back(*one.member);
    }
  }
  return holders;
}

}
