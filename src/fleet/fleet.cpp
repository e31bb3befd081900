#include "fleet/fleet.h"

#include "fleet/fleetconstants.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

Fleet::Fleet(const FleetSettings& aSettings)
  : m_settings(aSettings)
  , m_policy(MakePlacementPolicy(aSettings.placement))
  , m_quarantine(static_cast<std::uint32_t>(
      base::HashPair(base::HashName(aSettings.router),
                     static_cast<std::uint32_t>(aSettings.incarnation))))
  , m_fairShare(std::numeric_limits<double>::infinity())
  , m_nominalFairShare(std::numeric_limits<double>::infinity())
  , m_servedFairShare(std::numeric_limits<double>::infinity())
{
  Reconfigure(aSettings);
}

void
Fleet::Reconfigure(const FleetSettings& aSettings)
{
  m_settings.coldLimit = aSettings.coldLimit;
  m_prefixes.SetMaxHolders(aSettings.maxPrefixHolders);
  m_settings.regionOfZone = aSettings.regionOfZone;
  m_settings.usesStatedLoads = aSettings.usesStatedLoads;
  m_settings.spreadsRetries = aSettings.spreadsRetries;
  m_warmUp.Configure(aSettings.coldLimit);
  m_list.Configure(aSettings.entryTtl);
  m_freshness.Configure(aSettings.revocationBound);
  m_retries.Configure(
    aSettings.retryRatio, aSettings.retrySlack, aSettings.retryWindow);
}

std::vector<Fleet::UpstreamStatus>
Fleet::Status(TimePoint aNow) const
{
  std::vector<UpstreamStatus> all;
  for (const auto& [id, upstream] : m_upstreams.All()) {
    const auto remote = m_peers.LoadOf(id);
    UpstreamStatus status;
    status.id = upstream.entry->id;
    status.softwareVersion = upstream.entry->softwareVersion;
    status.service = upstream.entry->service;
    status.draining = upstream.entry->draining;
    status.leaving = upstream.leaving;
    status.evacuated = upstream.evacuated;
    status.coldFor = std::max(upstream.coldUntil - aNow, Duration{});
    status.pausedFor = std::max(upstream.pausedUntil - aNow, Duration{});
    status.ejected = upstream.health.IsEjected(aNow);
    status.unreadTokens =
      upstream.prefills.UnreadTokens(aNow) + remote.unreadTokens;
    status.running = upstream.running + remote.running;
    status.prefillRate = upstream.TokensPerMs();
    status.fixedFirstTokenMs = upstream.FixedFirstTokenMs();
    status.failureRatio = upstream.health.FailureRatio(aNow);
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
  m_upstreams.SetServices(m_routes->Config()->services);
  UpdateSmallestKvCache();
  return true;
}

void
Fleet::UpdateSmallestKvCache()
{
  m_smallestKvCache = 0;
  for (const auto& [name, service] : m_routes->Config()->services) {
    if (service.IsEngine() && service.kvCacheTokens > 0) {
      m_smallestKvCache = m_smallestKvCache > 0
                            ? std::min(m_smallestKvCache, service.kvCacheTokens)
                            : service.kvCacheTokens;
    }
  }
}

std::uint64_t
Fleet::ConfigVersion() const
{
  return m_routes ? m_routes->Config()->version : 0;
}

std::vector<EntryUpdate>
Fleet::UpdateUpstreams(TimePoint aNow)
{
  auto updates = m_list.TakeUpdates();
  m_versions.Apply(updates, aNow);
  for (const auto& [before, after] : updates) {
    const bool stays = before && after && after->usable &&
                       UpstreamIdOf(*before) == UpstreamIdOf(*after);
    if (before && !stays) {
      m_upstreams.Remove(UpstreamIdOf(*before));
    }
    if (after && after->usable) {
      m_upstreams.Put(after, m_evacuations, aNow);
      ApplySignals(*after, aNow);
    }
  }
  if (auto inForce = m_evacuations.InForce(); inForce != m_appliedEvacuations) {
    m_appliedEvacuations = std::move(inForce);
    m_upstreams.SetEvacuations(m_evacuations, m_settings.entryTtl, aNow);
  }
  return updates;
}

//! Applies what is known from answers to the listed upstream with this entry.
void
Fleet::ApplySignals(const UpstreamEntry& aEntry, TimePoint aNow)
{
  const auto id = UpstreamIdOf(aEntry);
  if (m_signals.IsLeaving(aEntry)) {
    m_upstreams.SetLeaving(id, aNow);
  }
  m_upstreams.SetPause(id, m_signals.PausedUntil(aEntry), aNow);
}

void
Fleet::SweepSignals(TimePoint aNow)
{
  if (aNow - m_signalsSweptAt < kSignalSweepInterval) {
    return;
  }
  m_signalsSweptAt = aNow;
  m_signals.Sweep(m_list.Entries(), aNow);
}

SignalChange
Fleet::RecordSignals(AttemptId aAttempt,
                     const AnswerSignals& aSignals,
                     TimePoint aNow)
{
  const auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end()) {
    return SignalChange::None;
  }
  const auto& entry = *found->second.entry;
  const auto change = m_signals.Record(entry, aSignals, aNow);
  const auto listed = m_list.Entries().find(entry.id);
  if (listed != m_list.Entries().end()) {
    ApplySignals(*listed->second, aNow);
  }
  auto* upstream = m_upstreams.Find(found->second.upstream);
  if (change == SignalChange::Paused && upstream != nullptr) {
    upstream->concurrencyLimit.Refused(
      RunningAt(found->second.upstream, *upstream),
      upstream->entry->slots,
      aSignals.retryAfter,
      aNow);
  }
  return change;
}

VersionId
Fleet::VersionOf(AttemptId aAttempt) const
{
  const auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end()) {
    return VersionId::Unknown;
  }
  const auto& sent = *found->second.entry;
  const auto listed = m_list.Entries().find(sent.id);
  const bool isSame = listed == m_list.Entries().end() ||
                      (listed->second->startedAt == sent.startedAt &&
                       listed->second->softwareVersion == sent.softwareVersion);
  return isSame ? VersionIdOf(sent) : VersionId::Unknown;
}

std::string
Fleet::NameOfVersion(const std::string& aService, VersionId aVersion) const
{
  if (aVersion == VersionId::Unknown) {
    return "";
  }
  if (const auto* service = m_upstreams.FindService(aService)) {
    for (const auto id : service->ids) {
      const auto& entry = *m_upstreams.Find(id)->entry;
      if (VersionIdOf(entry) == aVersion) {
        return entry.softwareVersion;
      }
    }
  }
  return fmt::format("{:x}", base::Raw(aVersion));
}

std::size_t
Fleet::CountUpstreamsInZone(const std::string& aZone) const
{
  const auto& all = m_upstreams.All();
  return static_cast<std::size_t>(
    std::count_if(all.begin(), all.end(), [&](const auto& aEntry) {
      return aEntry.second.entry->zone == aZone;
    }));
}

void
Fleet::EndPrefill(Upstream* aUpstream, AttemptId aId, Attempt& aAttempt)
{
  if (!aAttempt.awaitsFirstToken) {
    return;
  }
  aAttempt.awaitsFirstToken = false;
  if (aUpstream != nullptr) {
    aUpstream->prefills.Remove(aId);
  }
}

void
Fleet::RecordTokens(AttemptId aAttempt, TimePoint aNow)
{
  const auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end()) {
    return;
  }
  auto& attempt = found->second;
  attempt.lastTokenAt = aNow;
  if (!attempt.awaitsFirstToken) {
    RecordProvenParts(attempt, aNow);
    return;
  }
  attempt.firstTokenAt = aNow;
  auto* upstream = m_upstreams.Find(attempt.upstream);
  if (upstream != nullptr && upstream->IsEngine()) {
    const auto elapsedMs = static_cast<double>((aNow - attempt.sentAt).count());
    m_upstreams.LearnPrefill(*upstream, attempt.tokensAhead, elapsedMs);
    m_forecastError.Learn(attempt.predictedMs, elapsedMs);
  }
  EndPrefill(upstream, aAttempt, attempt);
}

void
Fleet::CountAnswer(const Upstream& aUpstream, TimePoint aNow)
{
  if (!aUpstream.IsEngine()) {
    m_callMeter.AddAnswer(ServiceIdOf(aUpstream.entry->service), aNow);
  }
}

//! Uncounts an admitted request that no upstream ran. Otherwise its workspace
//! would seem to be served what it is not.
void
Fleet::TakeBackAdmission(const Attempt& aAttempt, TimePoint aNow)
{
  if (aAttempt.admittedCost > 0) {
    m_demandMeter.RemoveAdmitted(aAttempt.workspace,
                                 aAttempt.admittedCost,
                                 aAttempt.admittedPrefill,
                                 aNow - aAttempt.sentAt,
                                 aNow);
  }
}

bool
Fleet::EndAttempt(AttemptId aAttempt, AttemptOutcome aEnd, TimePoint aNow)
{
  const auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end()) {
    return false;
  }
  auto attempt = found->second;
  m_attempts.erase(found);
  auto* upstream = m_upstreams.Find(attempt.upstream);
  EndPrefill(upstream, aAttempt, attempt);
  if (aEnd == AttemptOutcome::Refused || aEnd == AttemptOutcome::Unreachable) {
    TakeBackAdmission(attempt, aNow);
  }
  RecordEvidence(attempt, aEnd, aNow);
  if (upstream == nullptr) {
    return false;
  }
  m_upstreams.EndRequest(attempt.upstream);
  switch (aEnd) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::AnsweredByClose: {
      upstream->health.Succeeded(aNow);
      const auto elapsedMs =
        static_cast<double>((aNow - attempt.sentAt).count());
      CountAnswer(*upstream, aNow);
      const double serviceMs = elapsedMs / attempt.rounds;
      upstream->serviceTime.Learn(serviceMs);
      m_serviceTimes[upstream->entry->service].Learn(serviceMs);
      return false;
    }
    case AttemptOutcome::AnsweredFailure:
      CountAnswer(*upstream, aNow);
      upstream->health.AnsweredFailure(aNow);
      return false;
    case AttemptOutcome::Broken:
    case AttemptOutcome::Refused:
    case AttemptOutcome::Unreachable:
      return m_upstreams.RecordFailure(attempt.upstream, aNow);
    case AttemptOutcome::CallerGone:
      return false;
  }
  return false;
}

}
