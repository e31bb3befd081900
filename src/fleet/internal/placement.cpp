#include "fleet/placement.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace hemlockgauge::fleet {

namespace {

std::uint64_t
RankHash(std::uint64_t aKey, UpstreamId aUpstream)
{
  const auto low = static_cast<std::uint32_t>(aKey);
  const auto high = static_cast<std::uint32_t>(aKey >> 32);
  return base::HashPair(low ^ (high * 0x85ebca6bU), base::Raw(aUpstream));
}

//! The rank of each candidate in the order of the key.
std::vector<int>
RanksOf(const std::vector<Candidate>& aCandidates, std::uint64_t aKey)
{
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  order.reserve(aCandidates.size());
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    order.emplace_back(RankHash(aKey, aCandidates[i].upstream), i);
  }
  std::sort(order.begin(), order.end());
  std::vector<int> ranks(aCandidates.size());
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    ranks[order[rank].second] = static_cast<int>(rank);
  }
  return ranks;
}

//! What keeps a request from an upstream besides the wait there, in ms.
double
Reluctance(const Candidate& aCandidate, double aRereadWeight)
{
  const double rereading =
    aCandidate.isEngine ? aCandidate.missingTokens / aCandidate.readRate : 0.0;
  //! NOTE some upstreams slow down as they fill up, so an emptier one goes
  //! first although both have places.
  const double filling = aCandidate.isEngine
                           ? 0.0
                           : aCandidate.serviceMs *
                               std::min(aCandidate.running, aCandidate.slots) /
                               std::max(aCandidate.slots, 1U);
  return filling + aCandidate.failurePart * kFailureMs +
         aRereadWeight * rereading + (aCandidate.sameZone ? 0.0 : kOtherZoneMs);
}

//! Requests to a plain service have no home: their order differs from one to
//! the next, and small differences of learned times do not decide.
double
SpreadCost(const Candidate& aCandidate, int aRank)
{
  return kSpreadPart * aCandidate.serviceMs * std::min(aRank, kMostRanks);
}

//! In work a ms: tokens that an engine reads, or a plain service's requests.
double
SpeedOf(const Candidate& aCandidate)
{
  return aCandidate.isEngine
           ? aCandidate.readRate
           : aCandidate.slots / std::max(aCandidate.serviceMs, 1.0);
}

struct RereadWeight
{
  double operator()(const PrefixAffinity&) const { return kRereadWeight; }
  double operator()(const LeastWait&) const { return 0.0; }
  double operator()(const SampledWait&) const { return 0.0; }
};

//! How many engines of the order are looked at.
struct Reach
{
  std::size_t operator()(const PrefixAffinity&) const { return kPrefixReach; }
  std::size_t operator()(const LeastWait&) const
  {
    return std::numeric_limits<std::size_t>::max();
  }
  std::size_t operator()(const SampledWait&) const { return kSampleSize; }
};

struct RankCost
{
  int rank;

  double operator()(const PrefixAffinity&) const
  {
    return kRankMs * std::min(rank, kMostRanks);
  }
  //! Only breaks ties, so that routers do not all take the same one.
  double operator()(const LeastWait&) const { return 0.001 * rank; }
  double operator()(const SampledWait&) const { return 0.001 * rank; }
};

}

double
Candidate::ForeseenMs() const
{
  const double over = static_cast<double>(running) + 1 - slots;
  if (isEngine) {
    const double reading = (unreadTokens + missingTokens) / readRate;
    //! NOTE without a free slot a request waits for one to end.
    const double slotWait = over > 0 ? over * kFirstTokenFixedMs : 0.0;
    const double copying = copy ? copy->millis : 0.0;
    return kFirstTokenFixedMs + copying + reading + slotWait;
  }
  return serviceMs * Rounds();
}

double
Candidate::Rounds() const
{
  return std::max(1.0, (static_cast<double>(running) + 1) / slots);
}

PlacementPolicy
MakePlacementPolicy(PlacementKind aKind)
{
  if (aKind == PlacementKind::LeastWait) {
    return LeastWait{};
  }
  return PrefixAffinity{};
}

PlacementPolicy
Spread()
{
  return SampledWait{};
}

std::size_t
ReachOf(const PlacementPolicy& aPolicy)
{
  return std::visit(Reach{}, aPolicy);
}

void
KeepNearest(std::vector<UpstreamId>& aUpstreams,
            std::uint64_t aKey,
            std::size_t aReach)
{
  if (aUpstreams.size() <= aReach) {
    return;
  }
  std::vector<std::pair<std::uint64_t, UpstreamId>> order;
  order.reserve(aUpstreams.size());
  for (const auto id : aUpstreams) {
    order.emplace_back(RankHash(aKey, id), id);
  }
  std::nth_element(order.begin(),
                   order.begin() + static_cast<std::ptrdiff_t>(aReach),
                   order.end());
  aUpstreams.clear();
  for (std::size_t i = 0; i < aReach; ++i) {
    aUpstreams.push_back(order[i].second);
  }
}

std::optional<Placed>
Place(const PlacementPolicy& aPolicy,
      const std::vector<Candidate>& aCandidates,
      std::uint64_t aKey,
      const UnseenLoad& aUnseen)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const auto ranks = RanksOf(aCandidates, aKey);
  const double rereadWeight = std::visit(RereadWeight{}, aPolicy);
  std::vector<SpreadOption> options;
  options.reserve(aCandidates.size());
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    const double rankCost = candidate.isEngine
                              ? std::visit(RankCost{ ranks[i] }, aPolicy)
                              : SpreadCost(candidate, ranks[i]);
    options.push_back(
      { candidate.ForeseenMs() + Reluctance(candidate, rereadWeight) + rankCost,
        SpeedOf(candidate) });
  }
  const auto best = DrawByParts(SpreadParts(options, aUnseen.ms), aUnseen.draw);
  return Placed{ best, aCandidates[best].ForeseenMs(), ranks[best] };
}

}
