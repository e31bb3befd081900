#include "fleet/upstreamtable.h"

#include "fleet/evacuations.h"
#include "fleet/fleetconstants.h"

#include <algorithm>
#include <utility>

namespace hemlockgauge::fleet {

namespace {

void
InsertSorted(std::vector<UpstreamId>& aIds, UpstreamId aId)
{
  aIds.insert(std::lower_bound(aIds.begin(), aIds.end(), aId), aId);
}

void
EraseSorted(std::vector<UpstreamId>& aIds, UpstreamId aId)
{
  const auto found = std::lower_bound(aIds.begin(), aIds.end(), aId);
  if (found != aIds.end() && *found == aId) {
    aIds.erase(found);
  }
}

}

void
UpstreamTable::SetServices(const Services& aServices)
{
  for (const auto& [name, service] : aServices) {
    m_services.try_emplace(name);
  }
  for (auto& [name, upstreams] : m_services) {
    const auto found = aServices.find(name);
    const auto service = found == aServices.end() ? Service{} : found->second;
    const bool unchanged =
      upstreams.isEngine == service.IsEngine() &&
      upstreams.coldRequestsPerSecond == service.coldRequestsPerSecond;
    if (unchanged) {
      continue;
    }
    upstreams.isEngine = service.IsEngine();
    upstreams.coldRequestsPerSecond = service.coldRequestsPerSecond;
    upstreams.isCapacityStale = true;
  }
}

void
UpstreamTable::Put(const UpstreamEntryPtr& aEntry,
                   const Evacuations& aEvacuations,
                   TimePoint aNow)
{
  const auto id = UpstreamIdOf(*aEntry);
  auto& upstream = m_upstreams[id];
  const auto coldBefore = upstream.entry ? upstream.entry->coldFor : Duration{};
  if (coldBefore != aEntry->coldFor) {
    upstream.coldUntil = aNow + aEntry->coldFor;
  }
  Unlink(id, upstream);
  upstream.entry = aEntry;
  upstream.version = VersionIdOf(*aEntry);
  upstream.evacuated = aEvacuations.Contains(aEntry->zone);
  Link(id, upstream, aNow);
}

void
UpstreamTable::Remove(UpstreamId aUpstream)
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return;
  }
  Unlink(aUpstream, found->second);
  m_upstreams.erase(found);
  m_busy.erase(aUpstream);
  m_cold.erase(aUpstream);
  m_paused.erase(aUpstream);
  m_ejected.erase(aUpstream);
}

void
UpstreamTable::SetLeaving(UpstreamId aUpstream, TimePoint aNow)
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end() || found->second.leaving) {
    return;
  }
  found->second.leaving = true;
  Count(aUpstream, found->second, aNow);
}

void
UpstreamTable::SetPause(UpstreamId aUpstream, TimePoint aUntil, TimePoint aNow)
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end() || aUntil <= aNow) {
    return;
  }
  auto& upstream = found->second;
  upstream.pausedUntil = std::max(upstream.pausedUntil, aUntil);
  upstream.service->paused += m_paused.insert(aUpstream).second ? 1 : 0;
}

void
UpstreamTable::EndPauses(TimePoint aNow)
{
  std::erase_if(m_paused, [&](UpstreamId aId) {
    auto& upstream = m_upstreams.at(aId);
    const bool isOver = !upstream.IsPaused(aNow);
    upstream.service->paused -= isOver ? 1 : 0;
    return isOver;
  });
}

void
UpstreamTable::Link(UpstreamId aId, Upstream& aUpstream, TimePoint aNow)
{
  auto& service = m_services[aUpstream.entry->service];
  aUpstream.service = &service;
  InsertSorted(service.ids, aId);
  service.evacuated += aUpstream.evacuated ? 1 : 0;
  service.paused += m_paused.contains(aId) ? 1 : 0;
  Count(aId, aUpstream, aNow);
}

void
UpstreamTable::Unlink(UpstreamId aId, Upstream& aUpstream)
{
  if (aUpstream.service == nullptr) {
    return;
  }
  Uncount(aUpstream);
  EraseSorted(aUpstream.service->ids, aId);
  aUpstream.service->evacuated -= aUpstream.evacuated ? 1 : 0;
  aUpstream.service->paused -= m_paused.contains(aId) ? 1 : 0;
  aUpstream.service = nullptr;
}

void
UpstreamTable::Count(UpstreamId aId, Upstream& aUpstream, TimePoint aNow)
{
  Uncount(aUpstream);
  if (aUpstream.IsCold(aNow)) {
    m_cold.insert(aId);
  } else {
    m_cold.erase(aId);
  }
  if (!aUpstream.AcceptsWork(aNow)) {
    return;
  }
  auto& counted = aUpstream.counted;
  counted.upstreams = 1;
  counted.slots = aUpstream.entry->slots;
  counted.prefillTokensPerMs =
    aUpstream.IsEngine() ? aUpstream.prefillRate.TokensPerMs() : 0.0;
  auto& sum = aUpstream.service->capacity;
  sum.upstreams += counted.upstreams;
  sum.slots += counted.slots;
  sum.prefillTokensPerMs += counted.prefillTokensPerMs;
}

void
UpstreamTable::Uncount(Upstream& aUpstream)
{
  auto& sum = aUpstream.service->capacity;
  sum.upstreams -= aUpstream.counted.upstreams;
  sum.slots -= aUpstream.counted.slots;
  sum.prefillTokensPerMs =
    sum.upstreams > 0
      ? sum.prefillTokensPerMs - aUpstream.counted.prefillTokensPerMs
      : 0.0;
  aUpstream.counted = {};
}

void
UpstreamTable::SetEvacuations(const Evacuations& aEvacuations,
                              Duration aColdFor,
                              TimePoint aNow)
{
  for (auto& [id, upstream] : m_upstreams) {
    const bool evacuated = aEvacuations.Contains(upstream.entry->zone);
    if (upstream.evacuated == evacuated) {
      continue;
    }
    Unlink(id, upstream);
    upstream.evacuated = evacuated;
    if (!evacuated) {
      upstream.coldUntil = std::max(upstream.coldUntil, aNow + aColdFor);
    }
    Link(id, upstream, aNow);
  }
}

void
UpstreamTable::Tick(TimePoint aNow)
{
  EndPauses(aNow);
  for (auto& [name, service] : m_services) {
    if (!service.isCapacityStale) {
      continue;
    }
    service.isCapacityStale = false;
    for (const auto id : service.ids) {
      Count(id, m_upstreams.at(id), aNow);
    }
  }
  const auto cold = m_cold;
  for (const auto id : cold) {
    auto& upstream = m_upstreams.at(id);
    if (!upstream.IsCold(aNow)) {
      Count(id, upstream, aNow);
    }
  }
}

const Upstream*
UpstreamTable::Find(UpstreamId aUpstream) const
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return nullptr;
  }
  m_examined++;
  return &found->second;
}

Upstream*
UpstreamTable::Find(UpstreamId aUpstream)
{
  return const_cast<Upstream*>(std::as_const(*this).Find(aUpstream));
}

const std::map<UpstreamId, Upstream>&
UpstreamTable::All() const
{
  m_examined += m_upstreams.size();
  return m_upstreams;
}

const ServiceUpstreams*
UpstreamTable::FindService(std::string_view aName) const
{
  const auto found = m_services.find(aName);
  return found == m_services.end() ? nullptr : &found->second;
}

void
UpstreamTable::BeginRequest(UpstreamId aUpstream)
{
  m_upstreams.at(aUpstream).running++;
  m_busy.insert(aUpstream);
}

void
UpstreamTable::EndRequest(UpstreamId aUpstream)
{
  auto& upstream = m_upstreams.at(aUpstream);
  upstream.running -= std::min(upstream.running, 1U);
  if (upstream.running == 0) {
    m_busy.erase(aUpstream);
  }
}

void
UpstreamTable::LearnPrefill(Upstream& aUpstream, double aTokens, double aMillis)
{
  auto& firstToken = aUpstream.service->firstToken;
  const double predictedMs = firstToken.PredictMs(aTokens);
  aUpstream.prefillRate.Learn(aTokens, aMillis, aUpstream.FixedFirstTokenMs());
  firstToken.Learn(aTokens, aMillis / aUpstream.slowness.Factor());
  aUpstream.slowness.Learn(predictedMs, aMillis);
  if (aUpstream.counted.upstreams == 0 || !aUpstream.IsEngine()) {
    return;
  }
  const double rate = aUpstream.prefillRate.TokensPerMs();
  aUpstream.service->capacity.prefillTokensPerMs +=
    rate - aUpstream.counted.prefillTokensPerMs;
  aUpstream.counted.prefillTokensPerMs = rate;
}

bool
UpstreamTable::RecordFailure(UpstreamId aUpstream, TimePoint aNow)
{
  auto& upstream = m_upstreams.at(aUpstream);
  const bool ejects = upstream.health.Failed(aNow, MayEject(upstream, aNow));
  if (ejects) {
    m_ejected.insert(aUpstream);
  }
  return ejects;
}

bool
UpstreamTable::MayEject(const Upstream& aUpstream, TimePoint aNow)
{
  std::erase_if(m_ejected, [&](UpstreamId aId) {
    return !m_upstreams.at(aId).health.IsEjected(aNow);
  });
  const auto ejected =
    1 + std::count_if(m_ejected.begin(), m_ejected.end(), [&](UpstreamId aId) {
      const auto& other = m_upstreams.at(aId);
      return other.service == aUpstream.service && !other.evacuated;
    });
  const auto total =
    aUpstream.service->ids.size() - aUpstream.service->evacuated;
  return static_cast<double>(ejected) <=
         kMaxEjectedRatio * static_cast<double>(total);
}

}
