#include "loadmodel.h"

#include <criterion/criterion.h>

#include <algorithm>

//! Loads at their worst, replayed in the model of a fleet.
using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr std::uint32_t kSeed = 20261202;
constexpr int kUsualRequests = 530; //!< a second, over all kinds

//! What the users' grown deployments ask at aTimes their usual rate, at half
//! their size: many routers whose news of each other is old.
ModelLoad
GrownLoad(double aTimes)
{
  ModelLoad load;
  load.routers = 40;
  load.engines = 30;
  load.workspaces = 30;
  load.reportDelay = 150ms;
  load.tokensPerSecond = 650000;
  load.engineTokensPerMs = 33;
  load.kinds = {
    { 2520, 4, 3780, 2890, 51, 195, 800ms, 0.30 * kUsualRequests * aTimes },
    { 341, 20, 227, 1800, 24, 250, 500ms, 0.38 * kUsualRequests * aTimes },
    { 103, 20, 69, 543, 279, 300, 400ms, 0.32 * kUsualRequests * aTimes },
  };
  return load;
}

double
Quantile(std::vector<double> aValues, double aPart)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.at(
    static_cast<std::size_t>(aPart * static_cast<double>(aValues.size() - 1)));
}

}

//! Found on a grown deployment: all routers sent to the few engines that
//! were empty in reports 150 ms old; those then had 30,000 tokens to read.
Test(load, OldNewsDoesNotSendAllRoutersToTheSameEngines)
{
  const auto sum = Play(GrownLoad(0.8), kSeed).Sum();
  const double median = Quantile(sum.firstTokenMs, 0.5);

  cr_assert(median < 180, "median %.0f ms", median);
  cr_assert(sum.inTime > 0.95 * sum.begun, "%.2f", sum.inTime / sum.begun);
}
