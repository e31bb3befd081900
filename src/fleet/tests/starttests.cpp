#include "fleet/fleetconstants.h"
#include "startmodel.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;
using namespace std::chrono_literals;

namespace {

StartResult
Start(std::size_t aRouters, std::size_t aRunning = 0)
{
  StartLoad load;
  load.routers = aRouters;
  load.upstreams = 10 * aRouters;
  load.running = aRunning;
  const auto result = StartSimulation(load).Run(20000ms);
  cr_log_info("%zu routers, %zu running: list after %lld ms, %d calls, %zu "
              "without, oldest proof %lld ms\n",
              aRouters,
              aRunning,
              static_cast<long long>(result.lastHasList.count()),
              result.storeCalls,
              result.withoutList,
              static_cast<long long>(result.oldestProof.count()));
  return result;
}

//! Listings by the three seeds and the three readers, and as many more.
int
MaxCalls(std::size_t aRouters)
{
  const auto pages = static_cast<int>((10 * aRouters + 199) / 200);
  return 12 * pages;
}

}

//! All routers lost power, or half of a fleet was killed. Each router without a
//! list refuses all requests. Routers that found no seed within 40 ms listed
//! the store, each in dozens of pages, and three seeds sent the list to all
//! others: with 1,200 routers the last one had it after 13 s and 19,000 calls.
Test(start, AllRoutersHaveTheListSecondsAfterTheyAllStarted)
{
  for (const std::size_t routers : { 6, 30, 100, 300, 600, 1200 }) {
    const auto result = Start(routers);
    cr_expect(result.withoutList == 0);
    cr_expect(result.lastHasList <= 6000ms);
    cr_expect(result.storeCalls <= MaxCalls(routers));
    cr_expect(result.oldestProof <= kMaxSourceProofAge);
  }
}

Test(start, HalfOfTheRoutersHaveTheListSecondsAfterTheyWereKilled)
{
  for (const std::size_t routers : { 30, 100, 300, 600, 1200 }) {
    const auto result = Start(routers, routers / 2);
    cr_expect(result.withoutList == 0);
    cr_expect(result.lastHasList <= (routers <= 600 ? 2000ms : 6000ms));
    cr_expect(result.storeCalls <= MaxCalls(routers));
  }
}
