#include "fleet/fleet.h"

#include <algorithm>

//! How a request gets its place.
namespace hemlockgauge::fleet {

namespace {

//! Prefix uses in one report: over what one router sends in a period under
//! the largest burst that it can carry.
constexpr std::size_t kMostUsesTold = 256;
//! Sets the draw of a place apart from other hashes of the same key.
constexpr std::uint32_t kDrawSeed = 0x5eed;

}

void
Fleet::Arrived(const PlaceRequest& aRequest, TimePoint aNow)
{
  m_retries.CountRequest(aRequest.service, aNow);
  if (aRequest.work->IsGeneration()) {
    m_demand.Asked(aRequest.workspace, aRequest.work->Cost(), aNow);
  } else {
    m_calls.Asked(ServiceIdOf(aRequest.service), aNow);
  }
}

WorkspaceRate
Fleet::RateOf(WorkspaceId aWorkspace) const
{
  const auto found = m_fleetRates.find(aWorkspace);
  return found == m_fleetRates.end() ? WorkspaceRate{} : found->second;
}

//! None may get less than half of what it asks, or of what the best served one
//! gets: the level, an estimate, is not asked then.
bool
Fleet::IsStarved(WorkspaceId aWorkspace) const
{
  const auto rate = RateOf(aWorkspace);
  return m_othersWait &&
         rate.begun < kStarved * std::min(rate.asked, m_mostBegun);
}

bool
Fleet::IsCold(const Upstream& aUpstream, TimePoint aNow) const
{
  return aUpstream.coldPerSecond > 0 && aNow < aUpstream.coldUntil;
}

bool
Fleet::TakesWork(const Upstream& aUpstream, TimePoint aNow) const
{
  return !aUpstream.entry.draining && !aUpstream.evacuated &&
         !IsCold(aUpstream, aNow);
}

Suitability
Fleet::SuitabilityOf(const PlaceRequest& aRequest,
                     UpstreamId aId,
                     const Upstream& aUpstream,
                     TimePoint aNow) const
{
  const auto& entry = aUpstream.entry;
  if (entry.service != aRequest.service) {
    return Suitability::Unlisted;
  }
  if (entry.draining) {
    return Suitability::Draining;
  }
  if (!MayRunIn(m_settings.regionOfZone, entry.zone, aRequest)) {
    return Suitability::OtherRegion;
  }
  if (aUpstream.evacuated) {
    return Suitability::Evacuated;
  }
  if (std::find(aRequest.avoid.begin(), aRequest.avoid.end(), aId) !=
      aRequest.avoid.end()) {
    return Suitability::Tried;
  }
  const bool held = IsCold(aUpstream, aNow) &&
                    !m_warmUp.MaySend(aId, aUpstream.coldPerSecond, aNow);
  return held ? Suitability::Cold : Suitability::Fits;
}

//! Upstreams of its service that may get it. Those that failed lately come in
//! only if there are no others.
std::vector<UpstreamId>
Fleet::Eligible(const PlaceRequest& aRequest,
                PlaceResult& aResult,
                TimePoint aNow) const
{
  std::vector<UpstreamId> sound;
  std::vector<UpstreamId> ejected;
  for (const auto& [id, upstream] : m_upstreams) {
    const auto suitability = SuitabilityOf(aRequest, id, upstream, aNow);
    aResult.suitability = std::max(aResult.suitability, suitability);
    if (suitability == Suitability::Fits) {
      (upstream.health.IsEjected(aNow) ? ejected : sound).push_back(id);
    }
  }
  return sound.empty() ? ejected : sound;
}

//! Until the first of its service's upstreams is warm.
Duration
Fleet::UntilWarm(const PlaceRequest& aRequest, TimePoint aNow) const
{
  auto least = Duration::max();
  for (const auto& [id, upstream] : m_upstreams) {
    if (SuitabilityOf(aRequest, id, upstream, aNow) == Suitability::Cold) {
      least = std::min(least, upstream.coldUntil - aNow);
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

//! Engines that hold the shared parts of the request's prompt, as far as any
//! does, and may be asked for them: what is leaving or failed lately may be
//! gone before it has given anything. None where engines can't copy.
std::vector<PrefixHolder>
Fleet::HoldersFor(const PlaceRequest& aRequest, TimePoint aNow) const
{
  std::vector<PrefixHolder> holders;
  const auto* service = FindService(aRequest.service);
  if (service == nullptr || !service->CanCopy()) {
    return holders;
  }
  const auto& prompt = aRequest.work->prompt;
  for (std::size_t i = prompt.size(); i > 1 && holders.empty(); --i) {
    for (const auto id : m_prefixes.HoldersOf(prompt[i - 2].id)) {
      const auto found = m_upstreams.find(id);
      const bool gives =
        found != m_upstreams.end() &&
        IsWorkable(SuitabilityOf(aRequest, id, found->second, aNow)) &&
        !found->second.health.IsEjected(aNow);
      if (gives) {
        holders.push_back({ id,
                            m_prefixes.Held(*aRequest.work, id),
                            found->second.entry.zone });
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
  const auto& upstream = m_upstreams.at(aUpstream);
  const auto& entry = upstream.entry;
  const auto told = m_peers.LoadOf(aUpstream);
  const auto known = m_serviceTimes.find(aRequest.service);
  const auto serviceTime =
    known == m_serviceTimes.end() ? ServiceTime{} : known->second;
  Candidate candidate;
  candidate.upstream = aUpstream;
  candidate.isEngine = upstream.isEngine;
  candidate.unreadTokens = upstream.reading.Unread(aNow) + told.unreadTokens;
  const auto held = m_prefixes.Held(*aRequest.work, aUpstream);
  candidate.missingTokens =
    static_cast<double>(aRequest.work->promptTokens) - held;
  candidate.readRate = upstream.readRate.TokensPerMs();
  if (!aHolders.empty()) {
    candidate.copy =
      ChooseCopy(*FindService(aRequest.service),
                 aHolders,
                 { aUpstream, entry.zone, held, candidate.readRate },
                 aRequest.key);
  }
  candidate.missingTokens -= candidate.copy ? candidate.copy->tokens : 0.0;
  candidate.running = upstream.running + told.running;
  candidate.slots = std::max(entry.slots, 1U);
  candidate.serviceMs = upstream.time.Millis(serviceTime);
  candidate.failurePart = upstream.health.FailurePart(aNow);
  candidate.sameZone = entry.zone == m_settings.zone;
  return candidate;
}

//! Only those that aPolicy looks at: a router on an eighth of a core has no
//! time to look at a hundred engines for each request of a flood.
std::vector<Candidate>
Fleet::Candidates(const PlaceRequest& aRequest,
                  std::vector<UpstreamId> aEligible,
                  const std::vector<PrefixHolder>& aHolders,
                  const PlacementPolicy& aPolicy,
                  std::uint64_t aKey,
                  TimePoint aNow) const
{
  const bool isEngine =
    !aEligible.empty() && m_upstreams.at(aEligible.front()).isEngine;
  if (isEngine) {
    KeepNearest(aEligible, aKey, ReachOf(aPolicy));
  }
  std::vector<Candidate> candidates;
  candidates.reserve(aEligible.size());
  for (const auto id : aEligible) {
    candidates.push_back(MakeCandidate(aRequest, id, aHolders, aNow));
  }
  return candidates;
}

//! What others sent to a plain service since the news of it: as much of its
//! time as it is busy. Engines keep the best place: prefixes already spread
//! requests there, and a place that holds the prompt's parts is worth more than
//! a level load.
UnseenLoad
Fleet::Unseen(const PlaceRequest& aRequest,
              const std::vector<Candidate>& aCandidates,
              TimePoint aNow) const
{
  if (aCandidates.empty() || aCandidates.front().isEngine) {
    return {};
  }
  double busy = 0;
  double slots = 0;
  for (const auto& candidate : aCandidates) {
    busy += std::min(candidate.running, candidate.slots);
    slots += candidate.slots;
  }
  const auto age = static_cast<double>(m_peers.NewsAge(aNow).count());
  const auto key = static_cast<std::uint32_t>(aRequest.key);
  return { kUnseenTimes * age * busy / slots, base::HashPair(key, kDrawSeed) };
}

Admission
Fleet::Judge(const PlaceRequest& aRequest,
             const Candidate& aCandidate,
             const UnseenLoad& aUnseen,
             const PlaceResult& aResult) const
{
  AdmissionInput input;
  input.foreseenMs = aCandidate.ForeseenMs();
  input.ownMs = aCandidate.isEngine
                  ? aRequest.work->OwnTokens() / aCandidate.readRate
                  : 0.0;
  input.unseenMs = aUnseen.ms;
  input.waited = aRequest.waited;
  input.target = aRequest.route->target;
  input.timeLeft = aRequest.timeLeft;
  input.insideShare = aResult.IsOwed();
  input.insidePromise = aResult.insidePromise;
  input.starved = aResult.starved;
  input.passesLevel = aResult.passesLevel;
  input.passesCallLevel = aResult.passesCallLevel;
  input.excess = aResult.excess;
  input.othersWait = m_othersWait;
  input.placesFree =
    aCandidate.unreadTokens <= 0 && aCandidate.running < aCandidate.slots;
  input.idle = aCandidate.running == 0;
  return Admit(input);
}

//! What its workspace is owed, without a place yet.
PlaceResult
Fleet::Entitlement(const PlaceRequest& aRequest, TimePoint aNow)
{
  PlaceResult result;
  const bool generates = aRequest.work->IsGeneration();
  result.rate = RateOf(aRequest.workspace);
  result.mostBegun = m_mostBegun;
  const double begun = result.rate.begun;
  result.insideShare = begun < m_shareLevel;
  result.insidePromise =
    result.insideShare || (generates && begun < m_promisedLevel);
  result.excess = begun / m_excessLevel;
  result.farBehind = m_othersWait && begun < kFarBehind * m_mostBegun;
  result.starved = generates && IsStarved(aRequest.workspace);
  result.passesLevel = !generates || aRequest.admitted || result.starved ||
                       m_passLevel.Pass(aRequest.workspace);
  result.passesCallLevel =
    generates || aRequest.admitted ||
    m_callLevels.Passes(ServiceIdOf(aRequest.service), aRequest.key);
  result.peersAge = m_peers.Age(aNow);
  result.loadAge = m_peers.NewsAge(aNow);
  return result;
}

//! Whether no upstream may get it, since upstreams crash under it.
bool
Fleet::Withhold(const PlaceRequest& aRequest,
                PlaceResult& aResult,
                TimePoint aNow) const
{
  const auto request = aRequest.fingerprint;
  if (request == RequestFingerprint{}) {
    return false;
  }
  const auto unsure = m_crashChecks.Waiting(request);
  aResult.crashes = m_quarantine.Crashes(request) + unsure;
  const auto held = m_quarantine.HeldFor(request, unsure, aNow);
  if (held) {
    aResult.outcome = PlaceOutcome::Quarantined;
    aResult.retryAfter = *held;
  }
  return held.has_value();
}

PlaceResult
Fleet::Place(const PlaceRequest& aRequest, TimePoint aNow)
{
  auto result = Entitlement(aRequest, aNow);
  if (Withhold(aRequest, result, aNow)) {
    return result;
  }
  const bool shed = aRequest.work->IsGeneration() && !aRequest.admitted &&
                    ShedsWhileBusy(result.IsPromised(),
                                   aRequest.busyFor,
                                   aRequest.route->target);
  if (shed) {
    result.outcome = PlaceOutcome::Refused;
    result.routerBusy = true;
    result.retryAfter = kRetryAfterLeast;
    return result;
  }
  const auto* shared = aRequest.work->LastShared();
  //! NOTE what was beside a crash goes apart: by its prefix it would follow the
  //! request that caused it to the next upstream.
  const bool apart = result.crashes > 0;
  const auto policy = apart ? Spread() : m_policy;
  const auto key = shared != nullptr && !apart ? shared->id : aRequest.key;
  const auto eligible = Eligible(aRequest, result, aNow);
  const auto holders = HoldersFor(aRequest, aNow);
  auto candidates = Candidates(aRequest, eligible, holders, policy, key, aNow);
  const auto unseen = Unseen(aRequest, candidates, aNow);
  auto placed = fleet::Place(policy, candidates, key, unseen);
  if (!placed) {
    result.retryAfter =
      RetryAfterFor(result.suitability, UntilWarm(aRequest, aNow));
    return result;
  }
  auto admission =
    Judge(aRequest, candidates[placed->candidate], unseen, result);
  if (!admission.taken && !aRequest.admitted && result.IsPromised()) {
    //! NOTE its prefix's upstreams are full; it may still be in time where
    //! all of it has to be read. For what no one is owed that would be
    //! reading for nothing.
    candidates =
      Candidates(aRequest, eligible, holders, Spread(), aRequest.key, aNow);
    placed = fleet::Place(Spread(), candidates, aRequest.key, unseen);
    admission = Judge(aRequest, candidates[placed->candidate], unseen, result);
  }
  const auto& candidate = candidates[placed->candidate];
  result.foreseenMs = placed->foreseenMs;
  result.rank = placed->rank;
  result.unreadTokens = candidate.unreadTokens;
  result.missingTokens = candidate.missingTokens;
  result.running = candidate.running;
  if (candidate.copy) {
    result.copyFrom = m_upstreams.at(candidate.copy->from).entry.address;
    result.copiedTokens = candidate.copy->tokens;
  }
  if (!admission.taken && !aRequest.admitted) {
    result.outcome = PlaceOutcome::Refused;
    result.retryAfter = admission.retryAfter;
    return result;
  }
  const auto id = candidate.upstream;
  const auto& entry = m_upstreams.at(id).entry;
  result.outcome = PlaceOutcome::Placed;
  result.upstream = id;
  result.sameZone = candidate.sameZone;
  result.upstreamId = entry.id;
  result.address = entry.address;
  result.attempt = Begin(aRequest, id, candidate, aNow);
  return result;
}

AttemptId
Fleet::Begin(const PlaceRequest& aRequest,
             UpstreamId aUpstream,
             const Candidate& aCandidate,
             TimePoint aNow)
{
  auto& upstream = m_upstreams.at(aUpstream);
  const auto& work = *aRequest.work;
  Attempt attempt;
  attempt.upstream = aUpstream;
  attempt.fingerprint = aRequest.fingerprint;
  const double toRead = std::max(aCandidate.missingTokens, 0.0);
  attempt.tokensAhead = aCandidate.unreadTokens + aCandidate.missingTokens;
  attempt.foreseenMs = aCandidate.ForeseenMs();
  attempt.rounds = aCandidate.Rounds();
  attempt.sentAt = aNow;
  upstream.running++;
  if (IsCold(upstream, aNow)) {
    m_warmUp.Sent(aUpstream, aNow);
  }
  const auto id = m_nextAttempt++;
  const double aheadMs = aCandidate.unreadTokens / aCandidate.readRate;
  upstream.reading.Sent(
    id, toRead, aheadMs, toRead / aCandidate.readRate, aNow);
  for (std::size_t i = 0; i + 1 < work.prompt.size(); ++i) {
    m_prefixes.Used(work.prompt[i].id, aUpstream);
    if (m_usesHere.size() < kMostUsesTold) {
      m_usesHere.push_back({ work.prompt[i].id, aUpstream });
    }
  }
  if (work.IsGeneration() && FitsMemory(work)) {
    m_memoryUse.Begun(
      work, toRead, aCandidate.copy ? aCandidate.copy->tokens : 0.0);
  }
  if (work.IsGeneration() && !aRequest.admitted) {
    m_demand.Begun(aRequest.workspace, work.Cost(), toRead, aNow);
    m_fleetRates[aRequest.workspace].begun +=
      work.Cost() * 1000.0 / static_cast<double>(kShareMemory.count());
  }
  m_attempts.emplace(id, attempt);
  return id;
}

}
