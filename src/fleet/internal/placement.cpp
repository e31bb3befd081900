#include "fleet/placement.h"

#include "fleet/fleetconstants.h"
#include "fleet/rankedupstreams.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace hemlockgauge::fleet {

namespace {

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
//! wait and the rank's penalty.
double
PlacementCostMs(const Candidate& aCandidate, double aPrefillCostWeight)
{
  const double prefillMs = aCandidate.isEngine
                             ? aCandidate.missingTokens / aCandidate.prefillRate
                             : 0.0;
  //! NOTE some plain upstreams slow down as they fill up, so one with fewer
  //! requests is preferred even if both have free slots.
  const double occupancyMs =
    aCandidate.isEngine
      ? 0.0
      : aCandidate.serviceMs * std::min(aCandidate.running, aCandidate.slots) /
          std::max(aCandidate.slots, 1U);
  return occupancyMs + aCandidate.failureRatio * kFailurePenaltyMs +
         aPrefillCostWeight * prefillMs +
         (aCandidate.sameZone ? 0.0 : kCrossZonePenaltyMs);
}

//! The rank's penalty in ms for a plain service. Its requests have no prefix,
//! so ranks differ between requests; the penalty spreads them where the learned
//! service times differ only slightly.
double
PlainRankPenaltyMs(const Candidate& aCandidate, int aRank)
{
  return kPlainRankPenaltyRatio * aCandidate.serviceMs *
         std::min(aRank, kMaxPenalisedRanks);
}

//! Throughput per ms: tokens that an engine prefills, or requests that a plain
//! service answers.
double
Throughput(const Candidate& aCandidate)
{
  return aCandidate.isEngine
           ? aCandidate.prefillRate
           : aCandidate.slots / std::max(aCandidate.serviceMs, 1.0);
}

//! The weight of the request's prefill time in the cost of an engine.
struct PrefillCostWeight
{
  double operator()(const PrefixAffinity&) const { return kPrefillCostWeight; }
  double operator()(const LeastWait&) const { return 0.0; }
  double operator()(const SampledLeastWait&) const { return 0.0; }
};

//! How many of the ranked engines each policy considers.
struct CandidateLimit
{
  std::size_t operator()(const PrefixAffinity&) const
  {
    return kPrefixCandidates;
  }
  std::size_t operator()(const LeastWait&) const
  {
    return std::numeric_limits<std::size_t>::max();
  }
  std::size_t operator()(const SampledLeastWait&) const
  {
    return kSampledCandidates;
  }
};

//! The rank's penalty in ms for an engine.
struct RankPenalty
{
  int rank;

  double operator()(const PrefixAffinity&) const
  {
    return kRankPenaltyMs * std::min(rank, kMaxPenalisedRanks);
  }
  //! Only breaks ties, so that routers do not all choose the same engine.
  double operator()(const LeastWait&) const { return 0.001 * rank; }
  double operator()(const SampledLeastWait&) const { return 0.001 * rank; }
};

}

double
Candidate::PredictedMs() const
{
  const double excessRequests = static_cast<double>(running) + 1 - slots;
  if (isEngine) {
    const double prefillMs = (unreadTokens + missingTokens) / prefillRate;
    //! NOTE without a free slot a request waits until others end.
    const double slotWaitMs =
      excessRequests > 0 ? excessRequests * kFirstTokenOverheadMs : 0.0;
    const double copyMs = copy ? copy->durationMs : 0.0;
    return fixedMs + copyMs + prefillMs + slotWaitMs;
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
OverflowPolicy()
{
  return SampledLeastWait{};
}

std::size_t
MaxCandidates(const PlacementPolicy& aPolicy)
{
  return std::visit(CandidateLimit{}, aPolicy);
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
  const double prefillCostWeight = std::visit(PrefillCostWeight{}, aPolicy);
  std::vector<SpreadOption> options;
  options.reserve(aCandidates.size());
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const auto& candidate = aCandidates[i];
    const double rankPenalty = candidate.isEngine
                                 ? std::visit(RankPenalty{ ranks[i] }, aPolicy)
                                 : PlainRankPenaltyMs(candidate, ranks[i]);
    options.push_back({ candidate.PredictedMs() +
                          PlacementCostMs(candidate, prefillCostWeight) +
                          rankPenalty,
                        Throughput(candidate) });
  }
  const auto best =
    PickByWeight(SpreadWeights(options, aUnseen.ms), aUnseen.draw);
  return Placed{ best, aCandidates[best].PredictedMs(), ranks[best] };
}

}
