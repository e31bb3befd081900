#include "fleet/loadsum.h"

#include <algorithm>

namespace hemlockgauge::fleet {

void
LoadSum::Add(const PeerReport& aReport, TimePoint aAsOf)
{
  m_asOfMs += aReport.routerCount * static_cast<double>(aAsOf.count());
  for (const auto& load : aReport.loads) {
    auto& sum = m_loads[load.upstream];
    sum.upstream = load.upstream;
    sum.unreadTokens += load.unreadTokens;
    sum.running += load.running;
  }
  for (const auto& [workspace, rate] : aReport.rates) {
    auto& sum = m_rates[workspace];
    sum.demand += rate.demand;
    sum.admitted += rate.admitted;
  }
  for (const auto& [service, rate] : aReport.calls) {
    auto& sum = m_calls[service];
    sum.demand += rate.demand;
    sum.answered += rate.answered;
  }
  m_routers += aReport.routerCount;
  m_busy += aReport.busyRouters;
  m_reading += aReport.prefillDemand;
}

void
LoadSum::Subtract(const PeerReport& aReport)
{
  const auto routers = std::min(m_routers, aReport.routerCount);
  m_asOfMs -= routers * static_cast<double>(AsOf().count());
  for (const auto& load : aReport.loads) {
    auto& sum = m_loads[load.upstream];
    sum.upstream = load.upstream;
    sum.unreadTokens -= std::min(sum.unreadTokens, load.unreadTokens);
    sum.running -= std::min(sum.running, load.running);
  }
  for (const auto& [workspace, rate] : aReport.rates) {
    auto& sum = m_rates[workspace];
    sum.demand = std::max(0.0, sum.demand - rate.demand);
    sum.admitted = std::max(0.0, sum.admitted - rate.admitted);
  }
  for (const auto& [service, rate] : aReport.calls) {
    auto& sum = m_calls[service];
    sum.demand = std::max(0.0, sum.demand - rate.demand);
    sum.answered = std::max(0.0, sum.answered - rate.answered);
  }
  m_reading = std::max(0.0, m_reading - aReport.prefillDemand);
  m_routers -= routers;
  m_busy -= std::min(m_busy, aReport.busyRouters);
}

void
LoadSum::WriteTo(PeerReport& aReport, TimePoint aNow) const
{
  aReport.loads.clear();
  aReport.rates.clear();
  aReport.calls.clear();
  for (const auto& [id, load] : m_loads) {
    aReport.loads.push_back(load);
  }
  for (const auto& [workspace, rate] : m_rates) {
    aReport.rates.push_back({ workspace, rate });
  }
  for (const auto& [service, rate] : m_calls) {
    aReport.calls.push_back({ service, rate });
  }
  aReport.routerCount = m_routers;
  aReport.busyRouters = m_busy;
  aReport.prefillDemand = m_reading;
  aReport.loadAge = aNow - AsOf();
}

void
LoadSum::Clear()
{
  m_loads.clear();
  m_rates.clear();
  m_calls.clear();
  m_routers = 0;
  m_busy = 0;
  m_reading = 0;
  m_asOfMs = 0;
}

TimePoint
LoadSum::AsOf() const
{
  const double meanMs = m_routers > 0 ? m_asOfMs / m_routers : 0.0;
  return TimePoint(static_cast<std::int64_t>(meanMs));
}

UpstreamLoad
LoadSum::LoadOf(UpstreamId aUpstream) const
{
  const auto found = m_loads.find(aUpstream);
  return found == m_loads.end() ? UpstreamLoad{ aUpstream, 0, 0 }
                                : found->second;
}

}
