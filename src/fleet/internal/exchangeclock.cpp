#include "fleet/exchangeclock.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <array>

namespace hemlockgauge::fleet {

namespace {

//! Steps of a period; the stages have the first ones.
constexpr std::int64_t kSteps = kReportPeriod / kExchangeStep;
constexpr std::array kStages{ ExchangeStage::Own,
                              ExchangeStage::GroupSums,
                              ExchangeStage::ZoneSums,
                              ExchangeStage::FleetSums };
static_assert(kStages.size() <= kSteps);

}

std::vector<ExchangeStage>
ExchangeClock::Due(base::Duration aTimeOfDay)
{
  const std::int64_t now = aTimeOfDay / kExchangeStep;
  const bool goesOn = m_lastStep && *m_lastStep <= now;
  const auto last = goesOn ? std::max(*m_lastStep, now - kSteps) : now - 1;
  m_lastStep = now;
  std::vector<ExchangeStage> due;
  for (auto step = last + 1; step <= now; ++step) {
    const auto stage = static_cast<std::size_t>(step % kSteps);
    if (stage < kStages.size()) {
      due.push_back(kStages.at(stage));
    }
  }
  return due;
}

}
