#include "fleet/fleet.h"

#include "fleet/fleetconstants.h"
#include "fleet/rankedupstreams.h"
#include "fleet/waitingqueue.h"

#include <algorithm>

//! Admission and placement of a request.
namespace hemlockgauge::fleet {

namespace {

//! Greatest number of prefix uses in one report: more than a router sends in a
//! report interval under the largest burst that it can serve.
constexpr std::size_t kMaxReportedUses = 256;
//! Makes the draw of an upstream independent of other hashes of the same key.
constexpr std::uint32_t kDrawSeed = 0x5eed;

}

void
Fleet::CountArrival(const PlaceRequest& aRequest, TimePoint aNow)
{
  m_retries.CountRequest(aRequest.service, aNow);
  if (aRequest.work->IsGeneration()) {
    m_demandMeter.AddDemand(aRequest.workspace, aRequest.work->Cost(), aNow);
  } else {
    m_callMeter.AddCall(ServiceIdOf(aRequest.service), aNow);
  }
}

WorkspaceRate
Fleet::RateOf(WorkspaceId aWorkspace) const
{
  const auto found = m_fleetRates.find(aWorkspace);
  return found == m_fleetRates.end() ? WorkspaceRate{} : found->second;
}

//! Whether a workspace is close to getting less than half of its demand or of
//! what the best served workspace gets, which must not happen. The fleet-wide
//! limit does not apply to it then, as that is only an estimate.
bool
Fleet::IsStarved(WorkspaceId aWorkspace) const
{
  const auto rate = RateOf(aWorkspace);
  return m_othersWait &&
         rate.admitted <
           kStarvedRatio * std::min(rate.demand, m_maxAdmittedRate);
}

Suitability
Fleet::SuitabilityOf(const PlaceRequest& aRequest,
                     UpstreamId aId,
                     const Upstream& aUpstream,
                     TimePoint aNow) const
{
  const auto& entry = *aUpstream.entry;
  if (entry.service != aRequest.service) {
    return Suitability::Unlisted;
  }
  if (aRequest.streamVersion &&
      !FitTogether(*aRequest.streamVersion, aUpstream.version)) {
    return Suitability::OtherVersion;
  }
  if (aUpstream.IsLeaving()) {
    return Suitability::Draining;
  }
  if (!IsRegionAllowed(m_settings.regionOfZone, entry.zone, aRequest)) {
    return Suitability::OtherRegion;
  }
  if (aUpstream.evacuated) {
    return Suitability::Evacuated;
  }
  if (aUpstream.IsPaused(aNow)) {
    return Suitability::Paused;
  }
  if (std::find(aRequest.triedUpstreams.begin(),
                aRequest.triedUpstreams.end(),
                aId) != aRequest.triedUpstreams.end()) {
    return Suitability::Tried;
  }
  const auto& limit = aUpstream.concurrencyLimit;
  const bool isFull = limit.IsSet() && aUpstream.service->IsMostlyPaused() &&
                      !limit.Allows(RunningAt(aId, aUpstream), aNow);
  if (isFull) {
    return Suitability::Full;
  }
  const bool isBlocked =
    aUpstream.IsCold(aNow) &&
    !m_warmUp.MaySend(aId, aUpstream.service->coldRequestsPerSecond, aNow);
  if (isBlocked) {
    return Suitability::Cold;
  }
  return TooNewForStreamFor(aRequest, aUpstream, aNow) > Duration{}
           ? Suitability::TooNew
           : Suitability::Fits;
}

//! For how long a stream that may be resumed must not begin at the upstream: a
//! router that does not know its version yet could take another one for the
//! only one, and go on with the stream there.
Duration
Fleet::TooNewForStreamFor(const PlaceRequest& aRequest,
                          const Upstream& aUpstream,
                          TimePoint aNow) const
{
  const auto& route = *aRequest.route;
  const bool begins = route.kind == CallKind::Stream && route.resumable &&
                      !aRequest.streamVersion;
  return begins ? m_versions.NewFor(aRequest.service, aUpstream.version, aNow)
                : Duration{};
}

//! The upstreams of the request's service that aPolicy considers, out of those
//! that may get the request. Contains ejected ones only if there are no others.
//! Sets aResult.suitability. Few upstreams are examined unless most of the
//! service's upstreams are excluded.
std::vector<UpstreamId>
Fleet::EligibleUpstreams(const PlaceRequest& aRequest,
                         const PlacementPolicy& aPolicy,
                         std::uint64_t aKey,
                         PlaceResult& aResult,
                         TimePoint aNow) const
{
  const auto* service = m_upstreams.FindService(aRequest.service);
  if (service == nullptr) {
    return {};
  }
  const auto count =
    service->isEngine ? MaxCandidates(aPolicy) : kPlainCandidates;
  std::vector<UpstreamId> healthy;
  std::vector<UpstreamId> lastResort;
  RankedUpstreams ranked(service->ids, aKey);
  while (healthy.size() < count) {
    const auto id = ranked.Next();
    if (!id) {
      break;
    }
    const auto& upstream = *m_upstreams.Find(*id);
    const auto suitability = SuitabilityOf(aRequest, *id, upstream, aNow);
    aResult.suitability = std::max(aResult.suitability, suitability);
    if (suitability == Suitability::Fits) {
      (upstream.health.IsEjected(aNow) ? lastResort : healthy).push_back(*id);
    }
  }
  auto& eligible = healthy.empty() ? lastResort : healthy;
  eligible.resize(std::min(eligible.size(), count));
  std::sort(eligible.begin(), eligible.end());
  return eligible;
}

Duration
Fleet::TimeUntilEligible(const PlaceRequest& aRequest, TimePoint aNow) const
{
  auto least = Duration::max();
  const auto* service = m_upstreams.FindService(aRequest.service);
  if (service == nullptr) {
    return least;
  }
  for (const auto id : service->ids) {
    const auto& upstream = *m_upstreams.Find(id);
    switch (SuitabilityOf(aRequest, id, upstream, aNow)) {
      case Suitability::Fits:
        return Duration{};
      case Suitability::Full:
        least = std::min(least, kNoUpstreamRetryAfter);
        break;
      case Suitability::Cold:
        least = std::min(least, upstream.coldUntil - aNow);
        break;
      case Suitability::Paused:
        least = std::min(least, upstream.pausedUntil - aNow);
        break;
      case Suitability::TooNew:
        least = std::min(least, TooNewForStreamFor(aRequest, upstream, aNow));
        break;
      default:
        break;
    }
  }
  return least;
}

const Service*
Fleet::FindService(const std::string& aName) const
{
  if (m_routes == nullptr) {
    return nullptr;
  }
  const auto& services = m_routes->Config()->services;
  const auto found = services.find(aName);
  return found == services.end() ? nullptr : &found->second;
}

//! Engines that hold the longest cached prefix of the request's prompt and that
//! other engines may copy it from. Draining and ejected engines are left out:
//! they may be gone before the copy is done. Empty if engines can't copy.
std::vector<PrefixHolder>
Fleet::FindPrefixHolders(const PlaceRequest& aRequest, TimePoint aNow) const
{
  std::vector<PrefixHolder> holders;
  const auto* service = FindService(aRequest.service);
  if (service == nullptr || !service->CanCopy()) {
    return holders;
  }
  const auto& prompt = aRequest.work->prompt;
  for (std::size_t i = prompt.size(); i > 1 && holders.empty(); --i) {
    for (const auto id : m_prefixes.HoldersOf(prompt[i - 2].id)) {
      const auto* upstream = m_upstreams.Find(id);
      const bool isUsable =
        upstream != nullptr &&
        CanProvideCopies(SuitabilityOf(aRequest, id, *upstream, aNow)) &&
        !upstream->health.IsEjected(aNow);
      if (isUsable) {
        holders.push_back({ id,
                            m_prefixes.HeldTokens(*aRequest.work, id),
                            upstream->entry->zone,
                            upstream->version });
      }
    }
  }
  return holders;
}

Candidate
Fleet::MakeCandidate(const PlaceRequest& aRequest,
                     UpstreamId aUpstream,
                     const std::vector<PrefixHolder>& aHolders,
                     TimePoint aNow) const
{
  const auto& upstream = *m_upstreams.Find(aUpstream);
  const auto& entry = *upstream.entry;
  const auto remote = m_peers.LoadOf(aUpstream);
  const auto found = m_serviceTimes.find(aRequest.service);
  const auto meanTime =
    found == m_serviceTimes.end() ? ServiceTime{} : found->second;
  Candidate candidate;
  candidate.upstream = aUpstream;
  candidate.isEngine = upstream.IsEngine();
  candidate.unreadTokens =
    upstream.prefills.UnreadTokens(aNow) + remote.unreadTokens;
  const auto cachedTokens = m_prefixes.HeldTokens(*aRequest.work, aUpstream);
  candidate.missingTokens =
    static_cast<double>(aRequest.work->promptTokens) - cachedTokens;
  candidate.prefillRate =
    candidate.isEngine ? upstream.TokensPerMs() : kInitialPrefillRate;
  candidate.fixedMs = upstream.FixedFirstTokenMs();
  if (!aHolders.empty()) {
    candidate.copy = ChooseCopySource(*FindService(aRequest.service),
                                      aHolders,
                                      { aUpstream,
                                        entry.zone,
                                        cachedTokens,
                                        candidate.prefillRate,
                                        upstream.version },
                                      aRequest.key);
  }
  candidate.missingTokens -= candidate.copy ? candidate.copy->tokens : 0.0;
  candidate.running = upstream.running + remote.running;
  candidate.slots = std::max(entry.slots, 1U);
  ApplyStatedLoad(candidate, upstream, remote.running, aNow);
  candidate.serviceMs = upstream.serviceTime.MeanMs(meanTime);
  candidate.failureRatio = upstream.health.FailureRatio(aNow);
  candidate.sameZone = entry.zone == m_settings.zone;
  return candidate;
}

//! Makes candidates of those upstreams that aPolicy considers: a router on an
//! eighth of a core has no time to evaluate a hundred engines for each request
//! under overload. Sets aResult.suitability.
std::vector<Candidate>
Fleet::MakeCandidates(const PlaceRequest& aRequest,
                      const std::vector<PrefixHolder>& aHolders,
                      const PlacementPolicy& aPolicy,
                      std::uint64_t aKey,
                      PlaceResult& aResult,
                      TimePoint aNow) const
{
  std::vector<Candidate> candidates;
  for (const auto id :
       EligibleUpstreams(aRequest, aPolicy, aKey, aResult, aNow)) {
    candidates.push_back(MakeCandidate(aRequest, id, aHolders, aNow));
  }
  return candidates;
}

//! Estimates what other routers sent to a plain service since their last
//! reports: the age of the reports times the service's utilisation. Engines get
//! no such estimate and so the best candidate is always used: their prefixes
//! already spread requests, and an engine that caches the prompt's prefix is
//! worth more than an even load.
UnseenLoad
Fleet::EstimateUnreportedLoad(const PlaceRequest& aRequest,
                              const std::vector<Candidate>& aCandidates,
                              TimePoint aNow) const
{
  if (aCandidates.empty() || aCandidates.front().isEngine) {
    return {};
  }
  double usedSlots = 0;
  double slots = 0;
  for (const auto& candidate : aCandidates) {
    usedSlots += std::min(candidate.running, candidate.slots);
    slots += candidate.slots;
  }
  const auto age = static_cast<double>(m_peers.MeanLoadAge(aNow).count());
  const auto key = static_cast<std::uint32_t>(aRequest.key);
  return { kUnseenLoadFactor * age * usedSlots / slots,
           base::HashPair(key, kDrawSeed) };
}

Admission
Fleet::DecideAdmission(const PlaceRequest& aRequest,
                       const Candidate& aCandidate,
                       const UnseenLoad& aUnseen,
                       const PlaceResult& aResult) const
{
  AdmissionInput input;
  input.predictedMs = aCandidate.PredictedMs();
  input.ownPrefillMs = aCandidate.isEngine ? aRequest.work->UnsharedTokens() /
                                               aCandidate.prefillRate
                                           : 0.0;
  //! NOTE an engine step is not counted as its own; all limits allow for it.
  input.ownPrefillMs +=
    std::max(aCandidate.fixedMs - kFirstTokenOverheadMs, 0.0);
  input.unseenMs = aUnseen.ms;
  input.waited = aRequest.waited;
  input.target = aRequest.route->target;
  input.timeLeft = aRequest.timeLeft;
  input.insideShare = aResult.IsEntitled();
  input.insideNominalShare = aResult.insideNominalShare;
  input.starved = aResult.starved;
  input.passesThrottle = aResult.passesThrottle;
  input.passesCallThrottle = aResult.passesCallThrottle;
  input.excess = aResult.excess;
  input.othersWait = m_othersWait;
  input.hasFreeSlots =
    aCandidate.unreadTokens <= 0 && aCandidate.running < aCandidate.slots;
  input.upstreamIdle = aCandidate.running == 0;
  return Admit(input);
}

//! Starts a result with the request's entitlement, before an upstream is
//! sought. May use up credit of the workspace's throttle.
PlaceResult
Fleet::EvaluateEntitlement(const PlaceRequest& aRequest, TimePoint aNow)
{
  PlaceResult result;
  const bool isGeneration = aRequest.work->IsGeneration();
  result.rate = RateOf(aRequest.workspace);
  result.maxAdmittedRate = m_maxAdmittedRate;
  const double admittedRate = result.rate.admitted;
  result.insideShare = admittedRate < m_fairShare;
  result.insideNominalShare =
    result.insideShare || (isGeneration && admittedRate < m_nominalFairShare);
  result.excess = admittedRate / m_servedFairShare;
  result.farBehind =
    m_othersWait && admittedRate < kFarBehindRatio * m_maxAdmittedRate;
  result.starved = isGeneration && IsStarved(aRequest.workspace);
  result.passesThrottle = !isGeneration || aRequest.WasAdmitted() ||
                          aRequest.passedThrottle || result.starved ||
                          m_workspaceThrottle.TryAdmit(aRequest.workspace);
  result.passesCallThrottle =
    isGeneration || aRequest.WasAdmitted() ||
    m_callThrottle.Admits(ServiceIdOf(aRequest.service), aRequest.key);
  result.maxReportAge = m_peers.OldestReportAge(aNow);
  result.loadAge = m_peers.MeanLoadAge(aNow);
  return result;
}

PlaceResult
Fleet::Place(const PlaceRequest& aRequest, TimePoint aNow)
{
  auto result = EvaluateEntitlement(aRequest, aNow);
  if (IsQuarantined(aRequest, result, aNow)) {
    return result;
  }
  const bool isShed =
    aRequest.work->IsGeneration() && !aRequest.WasAdmitted() &&
    ShedsWhileBusy(
      result.IsNominallyEntitled(), aRequest.busyFor, aRequest.route->target);
  if (isShed) {
    result.outcome = PlaceOutcome::Refused;
    result.routerBusy = true;
    result.retryAfter = kMinRetryAfter;
    return result;
  }
  const auto* shared = aRequest.work->LastSharedPart();
  //! NOTE a request that ran at an upstream that crashed is placed apart from
  //! its prefix: otherwise it would follow the request that caused the crash to
  //! the next upstream.
  const bool isIsolated = result.crashes > 0;
  const auto policy = isIsolated ? OverflowPolicy() : m_policy;
  const auto key = shared != nullptr && !isIsolated ? shared->id : aRequest.key;
  const auto holders = FindPrefixHolders(aRequest, aNow);
  auto candidates =
    MakeCandidates(aRequest, holders, policy, key, result, aNow);
  const auto unseen = EstimateUnreportedLoad(aRequest, candidates, aNow);
  auto placed = fleet::Place(policy, candidates, key, unseen);
  if (!placed) {
    result.retryAfter = NoUpstreamRetryAfter(result.suitability,
                                             TimeUntilEligible(aRequest, aNow));
    return result;
  }
  auto admission =
    DecideAdmission(aRequest, candidates[placed->candidate], unseen, result);
  if (!admission.admitted && !aRequest.WasAdmitted() &&
      result.IsNominallyEntitled()) {
    //! NOTE the engines of the request's prefix are full. It may still be in
    //! time at an engine that has to prefill the whole prompt. Without an
    //! entitlement that prefill would be a waste.
    candidates = MakeCandidates(
      aRequest, holders, OverflowPolicy(), aRequest.key, result, aNow);
    placed = fleet::Place(OverflowPolicy(), candidates, aRequest.key, unseen);
    admission =
      DecideAdmission(aRequest, candidates[placed->candidate], unseen, result);
  }
  const auto& candidate = candidates[placed->candidate];
  result.predictedMs = placed->predictedMs;
  result.rank = placed->rank;
  result.unreadTokens = candidate.unreadTokens;
  result.missingTokens = candidate.missingTokens;
  result.running = candidate.running;
  if (candidate.copy) {
    result.copyFrom = m_upstreams.Find(candidate.copy->from)->entry->address;
    result.copiedTokens = candidate.copy->tokens;
  }
  const bool isInVain =
    aRequest.streamVersion && !aRequest.admitted &&
    placed->predictedMs >= static_cast<double>(aRequest.timeLeft.count());
  if (isInVain || (!admission.admitted && !aRequest.WasAdmitted())) {
    result.outcome = PlaceOutcome::Refused;
    result.retryAfter =
      RetryAfterOf(aRequest, result, admission.retryAfter, aNow);
    const bool isThrottled =
      !result.IsNominallyEntitled() && !result.passesThrottle;
    if (candidate.isEngine && !isInVain && !isThrottled) {
      result.mayWaitUntil = GiveUpAt(
        placed->predictedMs, aRequest.waited, aRequest.route->target, aNow);
    }
    return result;
  }
  const auto id = candidate.upstream;
  const auto& entry = *m_upstreams.Find(id)->entry;
  result.outcome = PlaceOutcome::Placed;
  result.upstream = id;
  result.sameZone = candidate.sameZone;
  result.upstreamId = entry.id;
  result.softwareVersion = entry.softwareVersion;
  result.address = entry.address;
  result.attempt = StartAttempt(aRequest, id, candidate, aNow);
  if (result.quarantine.isTrial) {
    m_quarantine.RecordTrial(*result.quarantine.trait, aNow);
  }
  return result;
}

//! Records a placed request as an attempt at aUpstream and returns its id.
AttemptId
Fleet::StartAttempt(const PlaceRequest& aRequest,
                    UpstreamId aUpstream,
                    const Candidate& aCandidate,
                    TimePoint aNow)
{
  auto& upstream = *m_upstreams.Find(aUpstream);
  const auto& work = *aRequest.work;
  Attempt attempt;
  attempt.upstream = aUpstream;
  attempt.entry = upstream.entry;
  attempt.fingerprint = aRequest.fingerprint;
  attempt.parts = work.SharedParts();
  const double prefillTokens = std::max(aCandidate.missingTokens, 0.0);
  attempt.tokensAhead = aCandidate.unreadTokens + aCandidate.missingTokens;
  attempt.predictedMs = aCandidate.PredictedMs();
  attempt.rounds = aCandidate.Rounds();
  attempt.sentAt = aNow;
  m_upstreams.BeginRequest(aUpstream);
  if (upstream.IsCold(aNow)) {
    m_warmUp.RecordRequest(aUpstream, aNow);
  }
  const auto id = m_nextAttempt++;
  const double queueMs = aCandidate.unreadTokens / aCandidate.prefillRate;
  upstream.prefills.Add(id,
                        prefillTokens,
                        queueMs,
                        prefillTokens / aCandidate.prefillRate,
                        aNow,
                        aCandidate.fixedMs - kFirstTokenOverheadMs);
  for (std::size_t i = 0; i + 1 < work.prompt.size(); ++i) {
    const bool reports = m_prefixes.RecordOwnUse(work.prompt[i].id, aUpstream);
    if (reports && m_ownUses.size() < kMaxReportedUses) {
      m_ownUses.push_back({ work.prompt[i].id, aUpstream });
    }
  }
  if (work.IsGeneration() && FitsKvCache(work)) {
    m_kvCacheUse.RecordRequest(
      work, prefillTokens, aCandidate.copy ? aCandidate.copy->tokens : 0.0);
  }
  if (work.IsGeneration() && !aRequest.admitted) {
    m_demandMeter.AddAdmitted(
      aRequest.workspace, work.Cost(), prefillTokens, aNow);
    m_fleetRates[aRequest.workspace].admitted +=
      work.Cost() * 1000.0 / static_cast<double>(kRateTimeConstant.count());
    attempt.admittedCost = work.Cost();
    attempt.admittedPrefill = prefillTokens;
    attempt.workspace = aRequest.workspace;
  }
  m_attempts.emplace(id, attempt);
  return id;
}

}
