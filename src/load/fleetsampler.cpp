#include "load/fleetsampler.h"

#include "load/simpleget.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace hemlockgauge::load {

using nlohmann::json;

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(500);

}

FleetSampler::FleetSampler(const Plan& aPlan)
  : m_plan(aPlan)
  , m_thread([this] { Run(); })
{
}

FleetSampler::~FleetSampler()
{
  m_stop = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
FleetSampler::Run()
{
  using Clock = std::chrono::steady_clock;
  const auto start = Clock::now();
  while (!m_stop && !m_plan.operators.empty()) {
    std::this_thread::sleep_for(kPollInterval);
    const double now =
      std::chrono::duration<double>(Clock::now() - start).count();
    for (std::size_t i = 0; i < m_plan.operators.size(); ++i) {
      PollRouter(i);
    }
    if (now >= m_plan.warmupSeconds && now <= m_plan.seconds) {
      Sample(now);
    }
  }
}

//! Adds the increase of a router's counters to the totals. A counter that
//! decreased belongs to a restarted router and is counted from zero.
void
FleetSampler::PollRouter(std::size_t aIndex)
{
  const auto text = SimpleGet(m_plan.operators[aIndex], "/status");
  const auto page = json::parse(text, nullptr, false);
  if (!page.is_object()) {
    return;
  }
  auto& router = m_routers[aIndex];
  for (const auto& one : page["workspaces"]) {
    const auto name = one["workspace"].get<std::string>();
    const auto served = one["served_here"].get<double>();
    auto& previous = router.served[name];
    m_served[name] += served >= previous ? served - previous : served;
    previous = served;
  }
  const auto& control = page["control"];
  router.bytes = control["bytes_sent"].get<double>() +
                 control["bytes_received"].get<double>();
  router.invariants = control["invariants_broken"].get<std::uint64_t>();
}

void
FleetSampler::Sample(double aSeconds)
{
  double used = 0;
  for (const auto& [name, served] : m_served) {
    used += served;
  }
  if (m_startSecond < 0) {
    m_startSecond = aSeconds;
    m_servedAtStart = m_served;
    m_usedAtStart = used;
    for (auto& [index, router] : m_routers) {
      router.firstBytes = router.bytes;
    }
    return;
  }
  m_lastSecond = aSeconds;
  const double elapsed = aSeconds - m_startSecond;
  double shares = 0;
  double served = 0;
  for (const auto& one : m_plan.workspaces) {
    if (one.backlogged) {
      shares += one.share;
      served += m_served[one.name] - m_servedAtStart[one.name];
    }
  }
  double minLead = 1e18;
  double maxLead = -1e18;
  for (const auto& one : m_plan.workspaces) {
    if (one.backlogged && shares > 0 && served > 0) {
      const double fairServed = served * one.share / shares;
      const double workspaceServed =
        m_served[one.name] - m_servedAtStart[one.name];
      const double lead =
        (workspaceServed - fairServed) / (fairServed / elapsed);
      minLead = std::min(minLead, lead);
      maxLead = std::max(maxLead, lead);
    }
  }
  if (maxLead >= minLead) {
    m_result.endGapSeconds = maxLead - minLead;
    m_result.worstGapSeconds =
      std::max(m_result.worstGapSeconds, maxLead - minLead);
    m_gapSum += maxLead - minLead;
    m_result.samples++;
  }
  if (m_plan.slots > 0) {
    m_result.utilisation = (used - m_usedAtStart) / (elapsed * m_plan.slots);
  }
}

FleetSampler::Result
FleetSampler::Finish()
{
  m_stop = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
  if (m_result.samples > 0) {
    m_result.meanGapSeconds = m_gapSum / static_cast<double>(m_result.samples);
  }
  const double elapsed = std::max(0.001, m_lastSecond - m_startSecond);
  double sum = 0;
  int routerCount = 0;
  for (const auto& [index, router] : m_routers) {
    m_result.invariantsBroken += router.invariants;
    if (router.firstBytes < 0 || router.bytes < router.firstBytes) {
      continue;
    }
    const double rate = (router.bytes - router.firstBytes) / elapsed;
    sum += rate;
    routerCount++;
    m_result.maxControlBytesPerRouterSecond =
      std::max(m_result.maxControlBytesPerRouterSecond, rate);
  }
  if (routerCount > 0) {
    m_result.controlBytesPerRouterSecond = sum / routerCount;
  }
  return m_result;
}

}
