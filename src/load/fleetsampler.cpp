#include "load/fleetsampler.h"

#include "load/simpleget.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace hemlockgauge::load {

using nlohmann::json;

namespace {

constexpr auto kPeriod = std::chrono::milliseconds(500);

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
    std::this_thread::sleep_for(kPeriod);
    const double now =
      std::chrono::duration<double>(Clock::now() - start).count();
    for (std::size_t i = 0; i < m_plan.operators.size(); ++i) {
      ReadRouter(i);
    }
    if (now >= m_plan.warmupSeconds && now <= m_plan.seconds) {
      Sample(now);
    }
  }
}

//! NOTE a router that restarts counts from zero, so totals grow by steps
//! of each router's own counter.
void
FleetSampler::ReadRouter(std::size_t aIndex)
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
    auto& before = router.served[name];
    m_total[name] += served >= before ? served - before : served;
    before = served;
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
  for (const auto& [name, served] : m_total) {
    used += served;
  }
  if (m_startSecond < 0) {
    m_startSecond = aSeconds;
    m_start = m_total;
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
      served += m_total[one.name] - m_start[one.name];
    }
  }
  double least = 1e18;
  double most = -1e18;
  for (const auto& one : m_plan.workspaces) {
    if (one.backlogged && shares > 0 && served > 0) {
      const double fair = served * one.share / shares;
      const double got = m_total[one.name] - m_start[one.name];
      const double ahead = (got - fair) / (fair / elapsed);
      least = std::min(least, ahead);
      most = std::max(most, ahead);
    }
  }
  if (most >= least) {
    m_result.endGapSeconds = most - least;
    m_result.worstGapSeconds = std::max(m_result.worstGapSeconds, most - least);
    m_gapSum += most - least;
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
  int counted = 0;
  for (const auto& [index, router] : m_routers) {
    m_result.invariantsBroken += router.invariants;
    if (router.firstBytes < 0 || router.bytes < router.firstBytes) {
      continue;
    }
    const double rate = (router.bytes - router.firstBytes) / elapsed;
    sum += rate;
    counted++;
    m_result.mostControlBytesPerRouterSecond =
      std::max(m_result.mostControlBytesPerRouterSecond, rate);
  }
  if (counted > 0) {
    m_result.controlBytesPerRouterSecond = sum / counted;
  }
  return m_result;
}

}
