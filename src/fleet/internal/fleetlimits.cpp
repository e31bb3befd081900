#include "fleet/fleet.h"

#include <algorithm>
#include <limits>

//! Limits that are recomputed from the sums over the fleet in each report
//! interval.
namespace hemlockgauge::fleet {

namespace {

constexpr double kMillisPerSecond = 1000.0;

}

//! Calls aVisit with each upstream that runs requests of any router, and with
//! the number of these requests.
template<typename Visit>
void
Fleet::VisitBusyUpstreams(Visit aVisit) const
{
  for (const auto& [id, load] : m_peers.Loads()) {
    if (const auto* upstream = m_upstreams.Find(id)) {
      aVisit(*upstream, upstream->running + load.running);
    }
  }
  for (const auto id : m_upstreams.Busy()) {
    const auto& upstream = *m_upstreams.Find(id);
    if (!m_peers.Loads().contains(id)) {
      aVisit(upstream, upstream.running);
    }
  }
}

//! Ages the cached prefixes by the tokens that entered a mean engine's KV
//! cache. All services use the lifetime of the smallest engines: a prefix that
//! is considered evicted too early costs one more copy or prefill, but one that
//! is expected and gone makes a request late.
void
Fleet::AgePrefixCache(TimePoint aNow)
{
  const auto elapsed = aNow - m_prefixesAgedAt.value_or(aNow);
  m_prefixesAgedAt = aNow;
  double engines = 0;
  for (const auto& [name, service] : m_upstreams.ByService()) {
    engines +=
      service.isEngine ? static_cast<double>(service.capacity.upstreams) : 0.0;
  }
  double running = 0;
  VisitBusyUpstreams([&](const Upstream& aUpstream, std::uint32_t aRunning) {
    running +=
      aUpstream.IsEngine() && aUpstream.AcceptsWork(aNow) ? aRunning : 0;
  });
  if (engines > 0) {
    const double newTokens =
      (m_demandMeter.PrefillDemand() + m_peers.PrefillDemand()) *
      m_kvCacheUse.FilledPerPrefillToken() *
      static_cast<double>(elapsed.count()) / kMillisPerSecond;
    m_prefixes.AddEnteredTokens(newTokens / engines);
    m_prefixes.SetRetainedTokens(PromptCacheTokens(running / engines));
  }
  m_prefixes.ForgetIfDue();
}

//! Whether a request fits into the KV cache of the smallest engines. Engines
//! refuse larger requests, so their token counts, which callers state, must not
//! count towards the mean of all requests.
bool
Fleet::FitsKvCache(const Work& aWork) const
{
  const double limit =
    m_smallestKvCache > 0 ? m_smallestKvCache : kDefaultPromptCacheTokens;
  return static_cast<double>(aWork.promptTokens) + aWork.outputTokens <= limit;
}

//! Tokens of cached prompts that an engine holds. aRunning: mean number of
//! requests that run at an engine.
double
Fleet::PromptCacheTokens(double aRunning) const
{
  if (m_smallestKvCache <= 0) {
    return kDefaultPromptCacheTokens;
  }
  return std::max(m_smallestKvCache -
                    aRunning * m_kvCacheUse.MeanRunningTokens(),
                  kMinPromptCacheRatio * m_smallestKvCache);
}

void
Fleet::Tick(TimePoint aNow)
{
  m_peers.Forget(aNow);
  m_quarantine.Tick(aNow);
  m_upstreams.Tick(aNow);
  AgePrefixCache(aNow);
  m_retries.SetRouters(m_peers.RouterCount() + 1);
  m_fleetRates = m_demandMeter.Rates(aNow);
  for (const auto& [workspace, rate] : m_peers.Rates()) {
    auto& sum = m_fleetRates[workspace];
    sum.demand += rate.demand;
    sum.admitted += rate.admitted;
  }
  m_warmUp.Forget(aNow);
  SweepSignals(aNow);
  m_statedLoads.Forget(aNow);
  UpdateRetryRoom(aNow);
  UpdateFairShares();
  UpdateCallThrottle(aNow);
}

//! Counts the used and all slots of each plain service.
std::map<ServiceId, ServiceSlots>
Fleet::CountPlainSlots(TimePoint aNow) const
{
  std::map<ServiceId, ServiceSlots> services;
  for (const auto& [name, service] : m_upstreams.ByService()) {
    if (!service.isEngine && service.capacity.upstreams > 0) {
      services[ServiceIdOf(name)].total =
        static_cast<std::uint32_t>(service.capacity.slots);
    }
  }
  VisitBusyUpstreams([&](const Upstream& aUpstream, std::uint32_t aRunning) {
    if (!aUpstream.IsEngine() && aUpstream.AcceptsWork(aNow)) {
      services[ServiceIdOf(aUpstream.entry->service)].used +=
        std::min(aRunning, aUpstream.entry->slots);
    }
  });
  return services;
}

//! Updates the throttle of calls to plain services.
void
Fleet::UpdateCallThrottle(TimePoint aNow)
{
  auto rates = m_callMeter.Rates(aNow);
  for (const auto& [service, rate] : m_peers.Calls()) {
    auto& sum = rates[service];
    sum.demand += rate.demand;
    sum.answered += rate.answered;
  }
  m_callThrottle.Update(CountPlainSlots(aNow), rates);
}

//! Prefill speed of all engines together, in tokens per second.
double
Fleet::PrefillCapacity() const
{
  double perMs = 0;
  for (const auto& [name, service] : m_upstreams.ByService()) {
    perMs += service.capacity.prefillTokensPerMs;
  }
  return perMs * kMillisPerSecond;
}

//! Updates the fair shares. A workspace is entitled to its share of the nominal
//! capacity, but to no more than its share of what the engines can prefill.
//! Otherwise, if engines are lost or the nominal capacity exceeds the real one,
//! all workspaces would be within their shares and all would wait, the smallest
//! ones too.
void
Fleet::UpdateFairShares()
{
  m_fairShare = std::numeric_limits<double>::infinity();
  m_nominalFairShare = std::numeric_limits<double>::infinity();
  m_servedFairShare = std::numeric_limits<double>::infinity();
  m_maxAdmittedRate = 0;
  const double nominal =
    m_routes ? m_routes->Config()->nominalTokensPerSecond : 0.0;
  if (nominal <= 0) {
    m_othersWait = false;
    m_workspaceThrottle.Update({}, nominal);
    return;
  }
  double admitted = 0;
  for (const auto& [workspace, rate] : m_fleetRates) {
    admitted += rate.admitted;
    m_maxAdmittedRate = std::max(m_maxAdmittedRate, rate.admitted);
  }
  const double capacity = AdmissionCapacity(admitted);
  const double usable = std::min(nominal, std::max(admitted, capacity));
  m_nominalFairShare = MaxMinShare(m_fleetRates, nominal);
  m_fairShare = MaxMinShare(m_fleetRates, usable);
  m_servedFairShare = MaxMinShare(m_fleetRates, std::max(usable, admitted));
  double unmet = 0;
  for (const auto& [workspace, rate] : m_fleetRates) {
    if (rate.admitted < m_servedFairShare) {
      unmet +=
        std::max(0.0, std::min(rate.demand, m_servedFairShare) - rate.admitted);
    }
  }
  m_othersWait = unmet > kMinUnmetDemandRatio * admitted;
  m_workspaceThrottle.Update(m_fleetRates,
                             m_isLargeFleet
                               ? std::max(nominal, capacity)
                               : std::numeric_limits<double>::infinity());
}

//! Rate that may be admitted, in tokens per second: as much as the engines can
//! prefill, scaled up since cached tokens need no prefill. aAdmittedRate: rate
//! that is admitted now.
double
Fleet::AdmissionCapacity(double aAdmittedRate) const
{
  const double prefillDemand =
    m_demandMeter.PrefillDemand() + m_peers.PrefillDemand();
  const double admittedPerPrefill =
    prefillDemand > 0 ? std::max(aAdmittedRate / prefillDemand, 1.0) : 1.0;
  return m_forecastError.OvercommitRatio() * PrefillCapacity() *
         admittedPerPrefill;
}

}
