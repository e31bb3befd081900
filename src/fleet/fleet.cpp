#include "fleet/fleet.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

Fleet::Fleet(const FleetSettings& aSettings)
  : m_settings(aSettings)
  , m_policy(MakePlacementPolicy(aSettings.placement))
  , m_shareLevel(std::numeric_limits<double>::infinity())
  , m_promisedLevel(std::numeric_limits<double>::infinity())
  , m_excessLevel(std::numeric_limits<double>::infinity())
{
  Reconfigure(aSettings);
}

void
Fleet::Reconfigure(const FleetSettings& aSettings)
{
  m_settings.coldLimit = aSettings.coldLimit;
  m_settings.regionOfZone = aSettings.regionOfZone;
  m_warmUp.Configure(aSettings.coldLimit);
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
    status.evacuated = upstream.evacuated;
    status.coldFor = std::max(upstream.coldUntil - aNow, Duration{});
    status.ejected = upstream.health.IsEjected(aNow);
    status.unreadTokens = upstream.reading.Unread(aNow) + told.unreadTokens;
    status.running = upstream.running + told.running;
    status.readRate = upstream.readRate.TokensPerMs();
    status.failurePart = upstream.health.FailurePart(aNow);
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
  FollowServices();
  FindLeastMemory();
  return true;
}

void
Fleet::FindLeastMemory()
{
  m_leastMemory = 0;
  for (const auto& [name, service] : m_routes->Config()->services) {
    if (service.IsEngine() && service.memoryTokens > 0) {
      m_leastMemory = m_leastMemory > 0
                        ? std::min(m_leastMemory, service.memoryTokens)
                        : service.memoryTokens;
    }
  }
}

std::uint64_t
Fleet::ConfigVersion() const
{
  return m_routes ? m_routes->Config()->version : 0;
}

void
Fleet::FollowUpstreams(TimePoint aNow)
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
      //! NOTE it may be cold by now; its next heartbeats say so.
      upstream.coldUntil =
        std::max(upstream.coldUntil, aNow + m_settings.lapseAfter);
    }
    upstream.evacuated = evacuated;
  }
  FollowServices();
}

void
Fleet::FollowServices()
{
  for (auto& [id, upstream] : m_upstreams) {
    const auto* service = FindService(upstream.entry.service);
    upstream.isEngine = service != nullptr && service->IsEngine();
    upstream.coldPerSecond = service != nullptr ? service->coldPerSecond : 0;
  }
}

std::size_t
Fleet::UpstreamsOfZone(const std::string& aZone) const
{
  return static_cast<std::size_t>(std::count_if(
    m_upstreams.begin(), m_upstreams.end(), [&](const auto& aEntry) {
      return aEntry.second.entry.zone == aZone;
    }));
}

Fleet::Upstream*
Fleet::Find(UpstreamId aUpstream)
{
  const auto found = m_upstreams.find(aUpstream);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

void
Fleet::EndReading(Upstream* aUpstream, AttemptId aId, Attempt& aAttempt)
{
  if (!aAttempt.waitsForFirst) {
    return;
  }
  aAttempt.waitsForFirst = false;
  if (aUpstream != nullptr) {
    aUpstream->reading.Done(aId);
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
  EndReading(upstream, aAttempt, attempt);
}

bool
Fleet::MayEject(const Upstream& aUpstream, TimePoint aNow) const
{
  std::size_t all = 0;
  std::size_t out = 1;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.entry.service != aUpstream.entry.service ||
        upstream.evacuated) {
      continue;
    }
    all++;
    out += upstream.health.IsEjected(aNow) ? 1 : 0;
  }
  return static_cast<double>(out) <= kEjectedMost * static_cast<double>(all);
}

void
Fleet::CountAnswer(const Upstream& aUpstream, TimePoint aNow)
{
  if (!aUpstream.isEngine) {
    m_calls.Answered(ServiceIdOf(aUpstream.entry.service), aNow);
  }
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
  EndReading(upstream, aAttempt, attempt);
  const bool isKnown = attempt.fingerprint != RequestFingerprint{};
  if (isKnown && aEnd == AttemptEnd::Answered) {
    m_quarantine.EndedWell(attempt.fingerprint, aNow);
  }
  if (upstream == nullptr) {
    return false;
  }
  upstream->running -= std::min(upstream->running, 1U);
  switch (aEnd) {
    case AttemptEnd::Answered: {
      upstream->health.Succeeded(aNow);
      const auto took = static_cast<double>((aNow - attempt.sentAt).count());
      CountAnswer(*upstream, aNow);
      const double work = took / attempt.rounds;
      upstream->time.Learn(work);
      m_serviceTimes[upstream->entry.service].Learn(work);
      return false;
    }
    case AttemptEnd::AnsweredFailure:
      CountAnswer(*upstream, aNow);
      upstream->health.AnsweredFailure(aNow);
      return false;
    case AttemptEnd::Broken:
      //! NOTE one that leaves ends its connections without a crash.
      if (isKnown && !upstream->entry.draining) {
        m_crashChecks.Broke(attempt.upstream, attempt.fingerprint, aNow);
      }
      return upstream->health.Failed(aNow, MayEject(*upstream, aNow));
    case AttemptEnd::Refused:
    case AttemptEnd::Unreachable:
      return upstream->health.Failed(aNow, MayEject(*upstream, aNow));
    case AttemptEnd::CallerGone:
      return false;
  }
  return false;
}

std::vector<UpstreamToCheck>
Fleet::UpstreamsToCheck(TimePoint aNow)
{
  std::vector<UpstreamToCheck> due;
  for (const auto id : m_crashChecks.TakeDue(aNow)) {
    if (const auto* upstream = Find(id)) {
      due.push_back({ id, upstream->entry.address });
    } else {
      m_crashChecks.Take(id); // it left meanwhile
    }
  }
  return due;
}

CheckNotice
Fleet::Checked(UpstreamId aUpstream,
               quarantine::CheckResult aResult,
               TimePoint aNow)
{
  const auto broken = m_crashChecks.Take(aUpstream);
  if (aResult == quarantine::CheckResult::Crashed) {
    for (const auto request : broken) {
      m_quarantine.Crashed(request, aUpstream, aNow);
    }
  }
  const auto* upstream = Find(aUpstream);
  return { upstream != nullptr ? upstream->entry.id : "",
           aResult,
           broken.size() };
}

}
