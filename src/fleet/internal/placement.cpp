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

//! The rank of each candidate by rendezvous hashing of aKey, from 0.
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

//! The cost in ms of sending a request to an upstream, besides the predicted
//! wait and the rank's cost.
double
PlacementCostMs(const Candidate& aCandidate, double aRepeatedPrefillWeight)
{
  const double repeatedPrefillMs =
    aCandidate.isEngine ? aCandidate.missingTokens / aCandidate.readRate : 0.0;
  //! NOTE some plain upstreams slow down as they fill up, so one with fewer
  //! requests is preferred even if both have free slots.
  const double occupancyMs =
    aCandidate.isEngine
      ? 0.0
      : aCandidate.serviceMs * std::min(aCandidate.running, aCandidate.slots) /
          std::max(aCandidate.slots, 1U);
  return occupancyMs + aCandidate.failurePart * kFailureMs +
         aRepeatedPrefillWeight * repeatedPrefillMs +
         (aCandidate.sameZone ? 0.0 : kOtherZoneMs);
}

//! The rank's cost, in ms, for a plain service. Requests to it have no prefix,
//! so ranks differ between requests; this cost spreads them where the learned
//! service times differ only slightly.
double
PlainRankCostMs(const Candidate& aCandidate, int aRank)
{
  return kSpreadPart * aCandidate.serviceMs * std::min(aRank, kMostRanks);
}

//! Throughput per ms: tokens that an engine prefills, or requests that a plain
//! service answers.
double
Throughput(const Candidate& aCandidate)
{
  return aCandidate.isEngine
           ? aCandidate.readRate
           : aCandidate.slots / std::max(aCandidate.serviceMs, 1.0);
}

//! The weight of repeated prefill time in the cost of an engine.
struct RepeatedPrefillWeight
{
  double operator()(const PrefixAffinity&) const { return kRereadWeight; }
  double operator()(const LeastWait&) const { return 0.0; }
  double operator()(const SampledWait&) const { return 0.0; }
};

//! How many of the ranked engines each policy considers.
struct MaxRanks
{
  std::size_t operator()(const PrefixAffinity&) const { return kPrefixReach; }
  std::size_t operator()(const LeastWait&) const
  {
    return std::numeric_limits<std::size_t>::max();
  }
  std::size_t operator()(const SampledWait&) const { return kSampleSize; }
};

//! The rank's cost of an engine, in ms.
struct RankCost
{
  int rank;

  double operator()(const PrefixAffinity&) const
  {
    return kRankMs * std::min(rank, kMostRanks);
  }
  //! Only breaks ties, so that routers do not all choose the same engine.
  double operator()(const LeastWait&) const { return 0.001 * rank; }
  double operator()(const SampledWait&) const { return 0.001 * rank; }
};

}

double
Candidate::ForeseenMs() const
{
  const double excessRequests = static_cast<double>(running) + 1 - slots;
  if (isEngine) {
    const double prefillMs = (unreadTokens + missingTokens) / readRate;
    //! NOTE without a free slot a request waits until others end.
    const double slotWaitMs =
      excessRequests > 0 ? excessRequests * kFirstTokenFixedMs : 0.0;
    const double copyMs = copy ? copy->millis : 0.0;
    return kFirstTokenFixedMs + copyMs + prefillMs + slotWaitMs;
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
  return std::visit(MaxRanks{}, aPolicy);
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
      const UnseenLoad& aUnreported)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const auto ranks = RanksOf(aCandidates, aKey);
  const double repeatedPrefillWeight =
    std::visit(RepeatedPrefillWeight{}, aPolicy);
  std::vector<SpreadOption> options;
  options.reserve(aCandidates.size());
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    const double rankCost = candidate.isEngine
                              ? std::visit(RankCost{ ranks[i] }, aPolicy)
                              : PlainRankCostMs(candidate, ranks[i]);
    options.push_back({ candidate.ForeseenMs() +
                          PlacementCostMs(candidate, repeatedPrefillWeight) +
                          rankCost,
                        Throughput(candidate) });
  }
  const auto best =
    DrawByParts(SpreadParts(options, aUnreported.ms), aUnreported.draw);
  return Placed{ best, aCandidates[best].ForeseenMs(), ranks[best] };
}

}
