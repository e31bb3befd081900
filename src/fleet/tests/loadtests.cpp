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

//! Found on a grown deployment: half of what is asked can be read, several
//! workspaces flood. A limit on the foreseen wait alone let through waves, as
//! all routers saw room at the same time, and made late what was owed.
Test(load, AFloodSeenLateMakesNothingLateThatIsOwed)
{
  auto load = GrownLoad(1.5);
  load.factor = [](int aWorkspace, Duration aSince) {
    const bool floods = aWorkspace >= 3 && aWorkspace < 5 && aSince > 6000ms;
    return floods ? 10.0 : 1.0;
  };
  const auto result = Play(load, kSeed);
  const auto sum = result.Sum();
  cr_assert(sum.inTime > 0.95 * sum.begun, "%.2f", sum.inTime / sum.begun);
  double best = 0;
  for (const auto& outcome : result.workspaces) {
    best = std::max(best, outcome.begun);
  }
  for (const auto& outcome : result.workspaces) {
    const double part = outcome.begun / std::min(outcome.asked, best);
    cr_assert(part > 0.5, "%.2f of what it asked or the best got", part);
  }
}

//! Engines are not left idle for the sake of short waits.
Test(load, MoreThanWhatIsOwedIsServedWhileEnginesHaveRoom)
{
  const auto load = GrownLoad(1.5);
  const auto sum = Play(load, kSeed).Sum();
  const double seconds =
    std::chrono::duration<double>(load.length - load.warmUp).count();
  const double perSecond = sum.begun / seconds;
  cr_assert(perSecond > 1.4 * load.tokensPerSecond, "%.0f", perSecond);
}
