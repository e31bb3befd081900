#include "busyroutermodel.h"

#include <criterion/criterion.h>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;

namespace {

constexpr std::uint32_t kSeed = 20261203;

}

//! Callers whose connections are closed unread come back at once and may use up
//! all the time of a slow router. More requests than it can serve must not
//! reduce the number of requests served in time.
Test(busyrouter, OverloadDoesNotReduceTheRequestsServedInTime)
{
  FloodLoad router;
  router.requestsPerSecond = 900;
  const auto loaded = BusyRouterModel(router, kSeed).Run();
  for (const double rate : { 1500.0, 2000.0, 3000.0 }) {
    router.requestsPerSecond = rate;
    const auto flooded = BusyRouterModel(router, kSeed).Run();
    cr_expect(flooded.servedInTime > 0.7 * loaded.servedInTime,
              "at %.0f requests/s: %d served in time, %d at 900/s, "
              "%d of %d given up unread",
              rate,
              flooded.servedInTime,
              loaded.servedInTime,
              flooded.failed,
              flooded.requests);
  }
}
