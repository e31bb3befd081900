#include "fleet/exchangeclock.h"

#include <criterion/criterion.h>

#include <vector>

using namespace hemlockgauge;
using namespace hemlockgauge::fleet;
using base::Duration;
using namespace std::chrono_literals;

//! Wherever in a step a router's rounds fall, it takes the stages of a period
//! in order, so that no report waits for the next period on its way.
Test(exchange, StagesAreDueInOrderWhereverRoundsFall)
{
  for (std::int64_t offset = 0; offset < 20; offset += 7) {
    ExchangeClock clock;
    std::vector<ExchangeStage> seen;
    for (std::int64_t at = 1000; at < 1200; at += 20) {
      for (const auto stage : clock.Due(Duration(at + offset))) {
        seen.push_back(stage);
      }
    }
    const std::vector<ExchangeStage> period{ ExchangeStage::Own,
                                             ExchangeStage::GroupSums,
                                             ExchangeStage::ZoneSums,
                                             ExchangeStage::FleetSums };
    cr_assert(seen.size() == 2 * period.size());
    for (std::size_t i = 0; i < seen.size(); ++i) {
      cr_assert(seen[i] == period[i % period.size()]);
    }
  }
}

Test(exchange, AStageThatALateRoundMissedIsDueOnce)
{
  ExchangeClock clock;
  clock.Due(Duration(1000));
  cr_assert(clock.Due(Duration(1070)).size() == 3);
  cr_assert(clock.Due(Duration(9000)).size() == 4, "each stage is due once");
}

//! A clock that jumps, forward or back, must not stop the exchange.
Test(exchange, StagesStayDueAfterTheClockStepsBack)
{
  ExchangeClock clock;
  clock.Due(Duration(100000));
  int stages = 0;
  for (std::int64_t at = 5000; at < 5200; at += 20) {
    stages += static_cast<int>(clock.Due(Duration(at)).size());
  }
  cr_assert(stages == 8);
}
