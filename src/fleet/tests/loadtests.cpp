#include "loadmodel.h"

#include <criterion/criterion.h>

#include <algorithm>

//! Worst-case loads, simulated with a model of the fleet.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr std::uint32_t kSeed = 20261202;
constexpr int kUsualRequests = 530; //!< requests per second of all kinds

//! Load of a large deployment at aFactor its usual rate, at half its size:
//! many routers that learn of each other's load late.
ModelLoad
LargeDeploymentLoad(double aFactor)
{
  ModelLoad load;
  load.routers = 40;
  load.engines = 30;
  load.workspaces = 30;
  load.reportDelay = 150ms;
  load.tokensPerSecond = 650000;
  load.engineTokensPerMs = 33;
  load.kinds = {
    { 2520, 4, 3780, 2890, 51, 195, 800ms, 0.30 * kUsualRequests * aFactor },
    { 341, 20, 227, 1800, 24, 250, 500ms, 0.38 * kUsualRequests * aFactor },
    { 103, 20, 69, 543, 279, 300, 400ms, 0.32 * kUsualRequests * aFactor },
  };
  return load;
}

double
Quantile(std::vector<double> aValues, double aFraction)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.at(static_cast<std::size_t>(
    aFraction * static_cast<double>(aValues.size() - 1)));
}

}

//! All routers sent to the few engines that were idle in reports 150 ms old.
//! Those engines then had 30,000 tokens to prefill.
Test(load, OutdatedReportsDoNotSendAllRoutersToTheSameEngines)
{
  const auto sum = SimulateLoad(LargeDeploymentLoad(0.8), kSeed).Sum();
  const double median = Quantile(sum.firstTokenMs, 0.5);

  cr_assert(median < 180, "median %.0f ms", median);
  cr_assert(sum.inTimeCost > 0.95 * sum.admittedCost,
            "%.2f of the admitted cost in time",
            sum.inTimeCost / sum.admittedCost);
}

//! Half of the demand can be prefilled, and several workspaces flood. A limit
//! on the predicted wait alone admitted requests in waves, since all routers
//! saw free capacity at the same time, and delayed requests inside the fair
//! share.
Test(load, AFloodThatIsReportedLateDelaysNoAdmittedRequests)
{
  auto load = LargeDeploymentLoad(1.5);
  load.demandFactor = [](int aWorkspace, Duration aSince) {
    const bool floods = aWorkspace >= 3 && aWorkspace < 5 && aSince > 6000ms;
    return floods ? 10.0 : 1.0;
  };
  const auto result = SimulateLoad(load, kSeed);
  const auto sum = result.Sum();
  cr_assert(sum.inTimeCost > 0.95 * sum.admittedCost,
            "%.2f of the admitted cost in time",
            sum.inTimeCost / sum.admittedCost);
  double best = 0;
  for (const auto& outcome : result.workspaces) {
    best = std::max(best, outcome.admittedCost);
  }
  for (const auto& outcome : result.workspaces) {
    const double ratio =
      outcome.admittedCost / std::min(outcome.requestedCost, best);
    cr_assert(ratio > 0.5,
              "admitted %.2f of its demand or of the best workspace's cost",
              ratio);
  }
}

//! Engines must not be left idle for the sake of short waits.
Test(load, RequestsBeyondTheSharesAreServedWhileEnginesHaveCapacity)
{
  const auto load = LargeDeploymentLoad(1.5);
  const auto sum = SimulateLoad(load, kSeed).Sum();
  const double seconds =
    std::chrono::duration<double>(load.length - load.warmUp).count();
  const double tokensPerSecond = sum.admittedCost / seconds;
  cr_assert(tokensPerSecond > 1.4 * load.tokensPerSecond,
            "%.0f tokens/s",
            tokensPerSecond);
}

//! A quarter of the engines accept no connections while a workspace floods.
//! They run nothing and so looked idle: requests beyond the share were sent
//! there, and their retries filled the other engines without being admitted
//! there. The workspaces within their shares got less than half.
Test(load, RetriesFromLostEnginesOfAFloodDoNotCrowdOutOtherWorkspaces)
{
  auto load = LargeDeploymentLoad(0.7);
  load.demandFactor = [](int aWorkspace, Duration aSince) {
    return aWorkspace == 3 && aSince > 3000ms ? 60.0 : 1.0;
  };
  load.isDown = [](int aEngine, Duration aSince) {
    return aEngine % 4 == 0 && aSince > 5000ms && aSince < 10000ms;
  };
  load.warmUp = 5000ms;
  load.length = 11000ms;
  const auto result = SimulateLoad(load, kSeed);
  const auto& flood = result.workspaces[3];
  for (const auto& outcome : result.workspaces) {
    const double owed = std::min(outcome.requestedCost, flood.admittedCost);
    const double served =
      &outcome == &flood ? outcome.admittedCost : outcome.inTimeCost;
    cr_assert(
      served > 0.5 * owed, "served %.2f of what was owed", served / owed);
  }
}
