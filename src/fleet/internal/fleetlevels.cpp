#include "fleet/fleet.h"

#include <algorithm>
#include <limits>

//! What follows from the sums over the fleet, each period.
namespace hemlockgauge::fleet {

namespace {

constexpr double kMillisPerSecond = 1000.0;

}

//! One age for all services, that of the smallest engines: a prefix that is
//! taken for gone too early is copied or read once more; one that is gone and
//! believed makes a request late.
void
Fleet::AgePrefixes(TimePoint aNow)
{
  const auto past = aNow - m_agedAt.value_or(aNow);
  m_agedAt = aNow;
  double engines = 0;
  double running = 0;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.isEngine && TakesWork(upstream, aNow)) {
      engines++;
      running += upstream.running + m_peers.LoadOf(id).running;
    }
  }
  if (engines > 0) {
    const double filled = (m_demand.Reading() + m_peers.Reading()) *
                          m_memoryUse.FilledPerRead() *
                          static_cast<double>(past.count()) / kMillisPerSecond;
    m_prefixes.Advance(filled / engines);
    m_prefixes.SetKept(KeptPrompts(running / engines));
  }
  m_prefixes.Forget();
}

//! Engines refuse what is larger than their memory, so what a caller says of
//! such a request tells nothing of the others.
bool
Fleet::FitsMemory(const Work& aWork) const
{
  const double memory = m_leastMemory > 0 ? m_leastMemory : kPrefixKeptUnsaid;
  return static_cast<double>(aWork.promptTokens) + aWork.outputTokens <= memory;
}

//! aRunning: requests at an engine, in the mean.
double
Fleet::KeptPrompts(double aRunning) const
{
  if (m_leastMemory <= 0) {
    return kPrefixKeptUnsaid;
  }
  return std::max(m_leastMemory - aRunning * m_memoryUse.TokensOfRunning(),
                  kPromptsKeptLeast * m_leastMemory);
}

void
Fleet::Tick(TimePoint aNow)
{
  m_peers.Forget(aNow);
  m_quarantine.Tick(aNow);
  AgePrefixes(aNow);
  m_retries.SetRouters(m_peers.Routers() + 1);
  m_fleetRates = m_demand.Rates(aNow);
  for (const auto& [workspace, rate] : m_peers.Rates()) {
    auto& sum = m_fleetRates[workspace];
    sum.asked += rate.asked;
    sum.begun += rate.begun;
  }
  m_warmUp.Forget(aNow);
  SetLevels(aNow);
  SetCallLevels(aNow);
}

//! How much of what plain services are asked may begin.
void
Fleet::SetCallLevels(TimePoint aNow)
{
  std::map<ServiceId, ServicePlaces> services;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.isEngine || !TakesWork(upstream, aNow)) {
      continue;
    }
    const auto running = upstream.running + m_peers.LoadOf(id).running;
    auto& places = services[ServiceIdOf(upstream.entry.service)];
    places.taken += std::min(running, upstream.entry.slots);
    places.all += upstream.entry.slots;
  }
  auto rates = m_calls.Rates(aNow);
  for (const auto& [service, rate] : m_peers.Calls()) {
    auto& sum = rates[service];
    sum.asked += rate.asked;
    sum.answered += rate.answered;
  }
  m_callLevels.Update(services, rates);
}

//! What all engines together can read, in tokens a second.
double
Fleet::ReadingCapacity(TimePoint aNow) const
{
  double perMs = 0;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.isEngine && TakesWork(upstream, aNow)) {
      perMs += upstream.readRate.TokensPerMs();
    }
  }
  return perMs * kMillisPerSecond;
}

//! A workspace is owed its part of what is promised to all, and no more than
//! its part of what the engines can read: where engines are lost, or more is
//! promised than they ever could, each would be inside its share otherwise and
//! all would wait, the smallest workspaces too.
void
Fleet::SetLevels(TimePoint aNow)
{
  m_shareLevel = std::numeric_limits<double>::infinity();
  m_promisedLevel = std::numeric_limits<double>::infinity();
  m_excessLevel = std::numeric_limits<double>::infinity();
  m_mostBegun = 0;
  const double promised = m_routes ? m_routes->Config()->tokensPerSecond : 0.0;
  if (promised <= 0) {
    m_othersWait = false;
    m_passLevel.Update({}, promised);
    return;
  }
  double begun = 0;
  for (const auto& [workspace, rate] : m_fleetRates) {
    begun += rate.begun;
    m_mostBegun = std::max(m_mostBegun, rate.begun);
  }
  const double room = Room(begun, aNow);
  const double owed = std::min(promised, std::max(begun, room));
  m_promisedLevel = MaxMinLevel(m_fleetRates, promised);
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
                     m_newsIsOld ? std::max(promised, room)
                                 : std::numeric_limits<double>::infinity());
}

//! What may begin in a second: as much as the engines can read. What is found
//! in caches need not be read.
double
Fleet::Room(double aBegun, TimePoint aNow) const
{
  const double reading = m_demand.Reading() + m_peers.Reading();
  const double begunPerRead =
    reading > 0 ? std::max(aBegun / reading, 1.0) : 1.0;
  return m_forecastError.ReadingUse() * ReadingCapacity(aNow) * begunPerRead;
}

}
