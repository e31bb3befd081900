#include "fleet/fleet.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

Fleet::Fleet(const FleetSettings& aSettings)
  : m_settings(aSettings)
  , m_policy(MakePlacementPolicy(aSettings.placement))
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
  m_settings.regionOfZone = aSettings.regionOfZone;
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
  for (const auto& [id, upstream] : m_upstreams) {
    const auto remote = m_peers.LoadOf(id);
    UpstreamStatus status;
    status.id = upstream.entry.id;
    status.service = upstream.entry.service;
    status.draining = upstream.entry.draining;
    status.evacuated = upstream.evacuated;
    status.coldFor = std::max(upstream.coldUntil - aNow, Duration{});
    status.ejected = upstream.health.IsEjected(aNow);
    status.unreadTokens =
      upstream.prefills.UnreadTokens(aNow) + remote.unreadTokens;
    status.running = upstream.running + remote.running;
    status.prefillRate = upstream.prefillRate.TokensPerMs();
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
  UpdateServiceSettings();
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

void
Fleet::UpdateUpstreams(TimePoint aNow)
{
  std::erase_if(m_upstreams, [&](const auto& aEntry) {
    const auto found = m_list.Entries().find(aEntry.second.entry.id);
    return found == m_list.Entries().end() || !found->second.usable ||
           UpstreamIdOf(found->second) != aEntry.first;
  });
  for (const auto& [id, entry] : m_list.Entries()) {
    if (!entry.usable) {
      continue;
    }
    auto& upstream = m_upstreams[UpstreamIdOf(entry)];
    if (upstream.entry.coldFor != entry.coldFor) {
      upstream.coldUntil = aNow + entry.coldFor;
    }
    upstream.entry = entry;
    const bool evacuated = m_evacuations.Contains(entry.zone);
    if (upstream.evacuated && !evacuated) {
      //! NOTE the upstream may have become cold without work; only its next
      //! heartbeats report it, so it counts as cold until then.
      upstream.coldUntil =
        std::max(upstream.coldUntil, aNow + m_settings.entryTtl);
    }
    upstream.evacuated = evacuated;
  }
  UpdateServiceSettings();
}

void
Fleet::UpdateServiceSettings()
{
  for (auto& [id, upstream] : m_upstreams) {
    const auto* service = FindService(upstream.entry.service);
    upstream.isEngine = service != nullptr && service->IsEngine();
    upstream.coldRequestsPerSecond =
      service != nullptr ? service->coldRequestsPerSecond : 0;
  }
}

std::size_t
Fleet::CountUpstreamsInZone(const std::string& aZone) const
{
  return static_cast<std::size_t>(std::count_if(
    m_upstreams.begin(), m_upstreams.end(), [&](const auto& aEntry) {
      return aEntry.second.entry.zone == aZone;
    }));
}

Fleet::Upstream*
Fleet::FindUpstream(UpstreamId aUpstream)
{
  const auto found = m_upstreams.find(aUpstream);
  return found == m_upstreams.end() ? nullptr : &found->second;
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
Fleet::RecordFirstToken(AttemptId aAttempt, TimePoint aNow)
{
  const auto found = m_attempts.find(aAttempt);
  if (found == m_attempts.end() || !found->second.awaitsFirstToken) {
    return;
  }
  auto& attempt = found->second;
  auto* upstream = FindUpstream(attempt.upstream);
  if (upstream != nullptr && upstream->isEngine) {
    const auto elapsedMs = static_cast<double>((aNow - attempt.sentAt).count());
    upstream->prefillRate.Learn(attempt.tokensAhead, elapsedMs);
    m_forecastError.Learn(attempt.predictedMs, elapsedMs);
  }
  EndPrefill(upstream, aAttempt, attempt);
}

bool
Fleet::MayEject(const Upstream& aUpstream, TimePoint aNow) const
{
  std::size_t total = 0;
  std::size_t ejected = 1;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.entry.service != aUpstream.entry.service ||
        upstream.evacuated) {
      continue;
    }
    total++;
    ejected += upstream.health.IsEjected(aNow) ? 1 : 0;
  }
  return static_cast<double>(ejected) <=
         kMaxEjectedRatio * static_cast<double>(total);
}

void
Fleet::CountAnswer(const Upstream& aUpstream, TimePoint aNow)
{
  if (!aUpstream.isEngine) {
    m_callMeter.AddAnswer(ServiceIdOf(aUpstream.entry.service), aNow);
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
  auto* upstream = FindUpstream(attempt.upstream);
  EndPrefill(upstream, aAttempt, attempt);
  const bool hasFingerprint = attempt.fingerprint != RequestFingerprint{};
  if (hasFingerprint && aEnd == AttemptOutcome::Answered) {
    m_quarantine.RecordSuccess(attempt.fingerprint, aNow);
  }
  if (upstream == nullptr) {
    return false;
  }
  upstream->running -= std::min(upstream->running, 1U);
  switch (aEnd) {
    case AttemptOutcome::Answered: {
      upstream->health.Succeeded(aNow);
      const auto elapsedMs =
        static_cast<double>((aNow - attempt.sentAt).count());
      CountAnswer(*upstream, aNow);
      const double serviceMs = elapsedMs / attempt.rounds;
      upstream->serviceTime.Learn(serviceMs);
      m_serviceTimes[upstream->entry.service].Learn(serviceMs);
      return false;
    }
    case AttemptOutcome::AnsweredFailure:
      CountAnswer(*upstream, aNow);
      upstream->health.AnsweredFailure(aNow);
      return false;
    case AttemptOutcome::Broken:
      //! NOTE a draining upstream closes its connections without a crash.
      if (hasFingerprint && !upstream->entry.draining) {
        m_crashChecks.RecordBrokenConnection(
          attempt.upstream, attempt.fingerprint, aNow);
      }
      return upstream->health.Failed(aNow, MayEject(*upstream, aNow));
    case AttemptOutcome::Refused:
    case AttemptOutcome::Unreachable:
      return upstream->health.Failed(aNow, MayEject(*upstream, aNow));
    case AttemptOutcome::CallerGone:
      return false;
  }
  return false;
}

std::vector<UpstreamToCheck>
Fleet::UpstreamsToCheck(TimePoint aNow)
{
  std::vector<UpstreamToCheck> due;
  for (const auto id : m_crashChecks.StartDueChecks(aNow)) {
    if (const auto* upstream = FindUpstream(id)) {
      due.push_back({ id, upstream->entry.address });
    } else {
      m_crashChecks.EndCheck(id); // the upstream is no longer listed
    }
  }
  return due;
}

CheckNotice
Fleet::RecordCheck(UpstreamId aUpstream,
                   quarantine::CheckResult aResult,
                   TimePoint aNow)
{
  const auto broken = m_crashChecks.EndCheck(aUpstream);
  if (aResult == quarantine::CheckResult::Crashed) {
    for (const auto request : broken) {
      m_quarantine.RecordCrash(request, aUpstream, aNow);
    }
  }
  const auto* upstream = FindUpstream(aUpstream);
  return { upstream != nullptr ? upstream->entry.id : "",
           aResult,
           broken.size() };
}

}
