#include "fleet/fleet.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

namespace {

//! Uses of prefixes in one report: over what one router sends in a period
//! under the largest burst that it can carry, and what a sum has room for in
//! one datagram.
constexpr std::size_t kMostUsesTold = 256;
constexpr std::size_t kMostUsesSummed = 1024;
constexpr double kMillisPerSecond = 1000.0;

void
Append(std::vector<PrefixUse>& aTo, const std::vector<PrefixUse>& aMore)
{
  const auto room = kMostUsesSummed - std::min(kMostUsesSummed, aTo.size());
  const auto count = std::min(room, aMore.size());
  aTo.insert(aTo.end(),
             aMore.begin(),
             aMore.begin() + static_cast<std::ptrdiff_t>(count));
}

}

Fleet::Fleet(const FleetSettings& aSettings)
  : m_settings(aSettings)
  , m_policy(MakePlacementPolicy(aSettings.placement))
  , m_shareLevel(std::numeric_limits<double>::infinity())
  , m_excessLevel(std::numeric_limits<double>::infinity())
{
  Reconfigure(aSettings);
}

void
Fleet::Reconfigure(const FleetSettings& aSettings)
{
  m_list.Configure(aSettings.lapseAfter);
  m_freshness.Configure(aSettings.revocationBound);
  m_retries.Configure(
    aSettings.retryRatio, aSettings.retrySlack, aSettings.retryWindow);
}

std::vector<Fleet::UpstreamStatus>
Fleet::Status(TimePoint aNow) const
{
  std::vector<UpstreamStatus> all;
  for (const auto& [id, upstream] : m_upstreams) {
    const auto told = m_peers.LoadOf(id);
    UpstreamStatus status;
    status.id = upstream.entry.id;
    status.service = upstream.entry.service;
    status.draining = upstream.entry.draining;
    status.ejected = upstream.health.IsEjected(aNow);
    status.unreadTokens =
      static_cast<double>(upstream.unreadTokens) + told.unreadTokens;
    status.running = upstream.running + told.running;
    status.readRate = upstream.readRate.TokensPerMs();
    status.failurePart = upstream.health.FailurePart();
    all.push_back(status);
  }
  return all;
}

bool
Fleet::SetConfig(ConfigPtr aConfig)
{
  if (aConfig->version <= ConfigVersion()) {
    return false;
  }
  m_routes = std::make_unique<RouteTable>(std::move(aConfig));
  FollowUpstreams();
  return true;
}

std::uint64_t
Fleet::ConfigVersion() const
{
  return m_routes ? m_routes->Config()->version : 0;
}

void
Fleet::FollowUpstreams()
{
  std::erase_if(m_upstreams, [&](const auto& aEntry) {
    return !m_list.Entries().contains(aEntry.second.entry.id);
  });
  for (const auto& [id, entry] : m_list.Entries()) {
    auto& upstream = m_upstreams[UpstreamIdOf(id)];
    upstream.entry = entry;
    upstream.isEngine = false;
    if (m_routes) {
      const auto& services = m_routes->Config()->services;
      const auto found = services.find(entry.service);
      upstream.isEngine = found != services.end() && found->second.IsEngine();
    }
  }
}

Fleet::Upstream*
Fleet::Find(UpstreamId aUpstream)
{
  const auto found = m_upstreams.find(aUpstream);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

void
Fleet::Arrived(const PlaceRequest& aRequest, TimePoint aNow)
{
  m_retries.CountRequest(aRequest.service, aNow);
  if (aRequest.work->IsGeneration()) {
    m_demand.Asked(aRequest.workspace, aRequest.work->Cost(), aNow);
  }
}

double
Fleet::BegunFor(WorkspaceId aWorkspace) const
{
  const auto found = m_fleetRates.find(aWorkspace);
  return found == m_fleetRates.end() ? 0.0 : found->second.begun;
}

std::vector<Candidate>
Fleet::Candidates(const PlaceRequest& aRequest,
                  std::vector<UpstreamId>& aIds,
                  TimePoint aNow) const
{
  std::vector<Candidate> candidates;
  const auto known = m_serviceTimes.find(aRequest.service);
  const auto serviceTime =
    known == m_serviceTimes.end() ? ServiceTime{} : known->second;
  const auto add = [&](bool aEjectedToo) {
    for (const auto& [id, upstream] : m_upstreams) {
      const auto& entry = upstream.entry;
      const bool fits =
        entry.service == aRequest.service && !entry.draining &&
        std::find(aRequest.avoid.begin(), aRequest.avoid.end(), id) ==
          aRequest.avoid.end();
      if (!fits || (!aEjectedToo && upstream.health.IsEjected(aNow))) {
        continue;
      }
      const auto told = m_peers.LoadOf(id);
      Candidate candidate;
      candidate.upstream = id;
      candidate.isEngine = upstream.isEngine;
      candidate.unreadTokens =
        static_cast<double>(upstream.unreadTokens) + told.unreadTokens;
      candidate.missingTokens =
        static_cast<double>(aRequest.work->promptTokens) -
        m_prefixes.Held(*aRequest.work, id);
      candidate.readRate = upstream.readRate.TokensPerMs();
      candidate.running = upstream.running + told.running;
      candidate.slots = std::max(entry.slots, 1U);
      candidate.serviceMs = upstream.time.Millis(serviceTime);
      candidate.failurePart = upstream.health.FailurePart();
      candidate.sameZone = entry.zone == m_settings.zone;
      candidates.push_back(candidate);
      aIds.push_back(id);
    }
  };
  add(false);
  if (candidates.empty()) {
    add(true);
  }
  return candidates;
}

Admission
Fleet::Judge(const PlaceRequest& aRequest,
             const Candidate& aCandidate,
             const PlaceResult& aResult) const
{
  AdmissionInput input;
  input.foreseenMs = aCandidate.ForeseenMs();
  input.ownMs = aCandidate.isEngine
                  ? aRequest.work->OwnTokens() / aCandidate.readRate
                  : 0.0;
  input.waited = aRequest.waited;
  input.target = aRequest.route->target;
  input.timeLeft = aRequest.timeLeft;
  input.insideShare =
    aResult.insideShare || (aResult.farBehind && aResult.passesLevel);
  input.passesLevel = aResult.passesLevel;
  input.excess = aResult.excess;
  input.othersWait = m_othersWait;
  input.placesFree =
    aCandidate.unreadTokens <= 0 && aCandidate.running < aCandidate.slots;
  input.idle = aCandidate.running == 0;
  return Admit(input);
}

PlaceResult
Fleet::Place(const PlaceRequest& aRequest, TimePoint aNow)
{
  PlaceResult result;
  std::vector<UpstreamId> ids;
  const auto candidates = Candidates(aRequest, ids, aNow);
  const auto* shared = aRequest.work->LastShared();
  const auto key = shared != nullptr ? shared->id : aRequest.key;
  auto placed = fleet::Place(m_policy, candidates, key);
  const double begun = BegunFor(aRequest.workspace);
  result.insideShare = begun < m_shareLevel;
  result.excess = begun / m_excessLevel;
  result.farBehind = m_othersWait && begun < kFarBehind * m_mostBegun;
  result.passesLevel = !aRequest.work->IsGeneration() || aRequest.admitted ||
                       m_passLevel.Pass(aRequest.workspace);
  result.peersAge = m_peers.Age(aNow);
  if (!placed) {
    result.retryAfter = kRetryAfterLeast;
    return result;
  }
  auto admission = Judge(aRequest, candidates[placed->candidate], result);
  const bool owed =
    result.insideShare || (result.farBehind && result.passesLevel);
  if (!admission.taken && !aRequest.admitted && owed) {
    //! NOTE its prefix's upstreams are full; it may still be in time where
    //! all of it has to be read. For what no one is owed that would be
    //! reading for nothing.
    placed = fleet::Place(Spread(), candidates, aRequest.key);
    admission = Judge(aRequest, candidates[placed->candidate], result);
  }
  const auto& candidate = candidates[placed->candidate];
  result.foreseenMs = placed->foreseenMs;
  result.rank = placed->rank;
  result.unreadTokens = candidate.unreadTokens;
  result.missingTokens = candidate.missingTokens;
  result.running = candidate.running;
  if (!admission.taken && !aRequest.admitted) {
    result.outcome = PlaceOutcome::Refused;
    result.retryAfter = admission.retryAfter;
    return result;
  }
  const auto id = ids[placed->candidate];
  const auto& entry = m_upstreams.at(id).entry;
  result.outcome = PlaceOutcome::Placed;
  result.upstream = id;
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
  attempt.unreadTokens =
    static_cast<std::uint32_t>(std::max(aCandidate.missingTokens, 0.0));
  attempt.tokensAhead = aCandidate.unreadTokens + aCandidate.missingTokens;
  attempt.foreseenMs = aCandidate.ForeseenMs();
  attempt.sentAt = aNow;
  upstream.running++;
  upstream.unreadTokens += attempt.unreadTokens;
  for (std::size_t i = 0; i + 1 < work.prompt.size(); ++i) {
    m_prefixes.Used(work.prompt[i].id, aUpstream);
    if (m_usesHere.size() < kMostUsesTold) {
      m_usesHere.push_back({ work.prompt[i].id, aUpstream });
    }
  }
  if (work.IsGeneration() && !aRequest.admitted) {
    m_demand.Begun(aRequest.workspace, work.Cost(), attempt.unreadTokens, aNow);
    m_fleetRates[aRequest.workspace].begun +=
      work.Cost() * 1000.0 / static_cast<double>(kShareMemory.count());
  }
  const auto id = m_nextAttempt++;
  m_attempts.emplace(id, attempt);
  return id;
}

void
Fleet::EndReading(Upstream* aUpstream, Attempt& aAttempt)
{
  if (!aAttempt.waitsForFirst) {
    return;
  }
  aAttempt.waitsForFirst = false;
  if (aUpstream != nullptr) {
    aUpstream->unreadTokens -=
      std::min(aUpstream->unreadTokens, aAttempt.unreadTokens);
  }
}

void
Fleet::FirstToken(AttemptId aAttempt, TimePoint aNow)
{
  const auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end() || !found->second.waitsForFirst) {
    return;
  }
  auto& attempt = found->second;
  auto* upstream = Find(attempt.upstream);
  if (upstream != nullptr && upstream->isEngine) {
    const auto took = static_cast<double>((aNow - attempt.sentAt).count());
    upstream->readRate.Learn(attempt.tokensAhead, took);
    m_forecastError.Learn(attempt.foreseenMs, took);
  }
  EndReading(upstream, attempt);
}

bool
Fleet::MayEject(const Upstream& aUpstream, TimePoint aNow) const
{
  std::size_t all = 0;
  std::size_t out = 1;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.entry.service != aUpstream.entry.service) {
      continue;
    }
    all++;
    out += upstream.health.IsEjected(aNow) ? 1 : 0;
  }
  return static_cast<double>(out) <= kEjectedMost * static_cast<double>(all);
}

bool
Fleet::Ended(AttemptId aAttempt, AttemptEnd aEnd, TimePoint aNow)
{
  const auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end()) {
    return false;
  }
  auto attempt = found->second;
  m_attempts.erase(found);
  auto* upstream = Find(attempt.upstream);
  EndReading(upstream, attempt);
  if (upstream == nullptr) {
    return false;
  }
  upstream->running -= std::min(upstream->running, 1U);
  switch (aEnd) {
    case AttemptEnd::Answered: {
      upstream->health.Succeeded();
      const auto took = static_cast<double>((aNow - attempt.sentAt).count());
      upstream->time.Learn(took);
      m_serviceTimes[upstream->entry.service].Learn(took);
      return false;
    }
    case AttemptEnd::AnsweredFailure:
      upstream->health.AnsweredFailure();
      return false;
    case AttemptEnd::Refused:
    case AttemptEnd::Broken:
      return upstream->health.Failed(aNow, MayEject(*upstream, aNow));
    case AttemptEnd::CallerGone:
      return false;
  }
  return false;
}

bool
Fleet::Take(const PeerReport& aReport, TimePoint aNow)
{
  if (!m_peers.Take(aReport, aNow)) {
    return false;
  }
  for (const auto& use : aReport.uses) {
    m_prefixes.Used(use.part, use.upstream);
  }
  if (m_sumsUp && aReport.scope == ReportScope::Router) {
    Append(m_usesOfGroup, aReport.uses);
  }
  if (m_sumsUp && aReport.scope == ReportScope::Group) {
    Append(m_usesOfOthers, aReport.uses);
  }
  TakeProof(aReport);
  return true;
}

void
Fleet::SetPlan(const ExchangePlan& aPlan)
{
  m_group = aPlan.group;
  m_sumsUp = aPlan.SumsUp();
  m_newsIsOld = aPlan.IsLarge();
  if (!m_sumsUp) {
    m_usesOfGroup.clear();
    m_usesOfOthers.clear();
  }
  m_peers.SetRole(aPlan.isHub, aPlan.group);
}

//! A datagram may have waited in a buffer while this process stood still,
//! so its age is not known. The echo of this router's own clock bounds it:
//! the sender wrote it after it heard that.
void
Fleet::TakeProof(const PeerReport& aReport)
{
  if (aReport.configVersion == 0 || aReport.configVersion != ConfigVersion()) {
    return;
  }
  const auto self = base::RouterId(base::HashName(m_settings.router));
  for (const auto& heard : aReport.heard) {
    if (heard.router == self) {
      m_freshness.Proven(heard.sentAt - aReport.configAge);
    }
  }
}

PeerReport
Fleet::Tell(TimePoint aNow)
{
  PeerReport report;
  report.router = m_settings.router;
  report.life = m_settings.life;
  report.sequence = ++m_reportSequence;
  report.sentAt = aNow;
  report.group = m_group;
  report.heard = m_peers.Heard();
  report.configVersion = ConfigVersion();
  report.configAge = m_freshness.Age(aNow);
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.running > 0) {
      report.loads.push_back({ id, upstream.unreadTokens, upstream.running });
    }
  }
  for (const auto& [workspace, rate] : m_demand.Rates(aNow)) {
    report.rates.push_back({ workspace, rate });
  }
  report.reading = m_demand.Reading();
  report.uses = std::move(m_usesHere);
  m_usesHere.clear();
  if (m_sumsUp) {
    Append(m_usesOfGroup, report.uses);
  }
  m_peers.Sent(report);
  return report;
}

PeerReport
Fleet::TellGroup(const PeerReport& aOwn)
{
  auto sum = m_peers.GroupSum(aOwn);
  sum.uses = m_usesOfGroup;
  return sum;
}

PeerReport
Fleet::TellFleet(const PeerReport& aOwn)
{
  auto sum = m_peers.FleetSum(aOwn);
  sum.uses = std::move(m_usesOfGroup);
  Append(sum.uses, m_usesOfOthers);
  m_usesOfGroup.clear();
  m_usesOfOthers.clear();
  return sum;
}

void
Fleet::AgePrefixes(TimePoint aNow)
{
  const auto engines =
    std::count_if(m_upstreams.begin(),
                  m_upstreams.end(),
                  [](const auto& aEntry) { return aEntry.second.isEngine; });
  const auto past = static_cast<double>((aNow - m_agedAt).count());
  m_agedAt = aNow;
  const double reading = m_demand.Reading() + m_peers.Reading();
  if (engines > 0) {
    m_prefixes.Advance(reading * past /
                       (kMillisPerSecond * static_cast<double>(engines)));
  }
  m_prefixes.Forget();
}

void
Fleet::Tick(TimePoint aNow)
{
  m_peers.Forget(aNow);
  AgePrefixes(aNow);
  m_retries.SetRouters(m_peers.Routers() + 1);
  m_fleetRates = m_demand.Rates(aNow);
  for (const auto& [workspace, rate] : m_peers.Rates()) {
    auto& sum = m_fleetRates[workspace];
    sum.asked += rate.asked;
    sum.begun += rate.begun;
  }
  SetLevels();
}

//! What all engines together can read, in tokens a second.
double
Fleet::ReadingCapacity() const
{
  double perMs = 0;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.isEngine && !upstream.entry.draining) {
      perMs += upstream.readRate.TokensPerMs();
    }
  }
  return perMs * kMillisPerSecond;
}

void
Fleet::SetLevels()
{
  m_shareLevel = std::numeric_limits<double>::infinity();
  m_excessLevel = std::numeric_limits<double>::infinity();
  m_mostBegun = 0;
  const double owed = m_routes ? m_routes->Config()->tokensPerSecond : 0.0;
  if (owed <= 0) {
    return;
  }
  double begun = 0;
  for (const auto& [workspace, rate] : m_fleetRates) {
    begun += rate.begun;
    m_mostBegun = std::max(m_mostBegun, rate.begun);
  }
  m_shareLevel = MaxMinLevel(m_fleetRates, owed);
  m_excessLevel = MaxMinLevel(m_fleetRates, std::max(owed, begun));
  double missed = 0;
  for (const auto& [workspace, rate] : m_fleetRates) {
    if (rate.begun < m_excessLevel) {
      missed += std::max(0.0, std::min(rate.asked, m_excessLevel) - rate.begun);
    }
  }
  m_othersWait = missed > kMissedNoticed * begun;
  m_passLevel.Update(m_fleetRates,
                     m_newsIsOld ? RoomFor(owed, begun)
                                 : std::numeric_limits<double>::infinity());
}

//! What may begin in a second: at least what is owed, and as much as the
//! engines can read. What is found in caches need not be read.
double
Fleet::RoomFor(double aOwed, double aBegun) const
{
  const double reading = m_demand.Reading() + m_peers.Reading();
  const double begunPerRead =
    reading > 0 ? std::max(aBegun / reading, 1.0) : 1.0;
  return std::max(
    aOwed, m_forecastError.ReadingUse() * ReadingCapacity() * begunPerRead);
}

}
