#include "fleet/exchangeclock.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <array>

namespace hemlockgauge::fleet {

namespace {

//! Number of steps in a period. Each stage takes one of the first steps.
constexpr std::int64_t kStepsPerPeriod = kReportInterval / kExchangeStep;
constexpr std::array kStages{ ExchangeStage::Own,
                              ExchangeStage::GroupSums,
                              ExchangeStage::ZoneSums,
                              ExchangeStage::FleetSums };
static_assert(kStages.size() <= kStepsPerPeriod);

}

std::vector<ExchangeStage>
ExchangeClock::Due(base::Duration aTimeOfDay)
{
  const std::int64_t currentStep = aTimeOfDay / kExchangeStep;
  const bool clockAdvanced = m_lastStep && *m_lastStep <= currentStep;
  const auto lastDone = clockAdvanced
                          ? std::max(*m_lastStep, currentStep - kStepsPerPeriod)
                          : currentStep - 1;
  m_lastStep = currentStep;
  std::vector<ExchangeStage> due;
  for (auto step = lastDone + 1; step <= currentStep; ++step) {
    const auto stage = static_cast<std::size_t>(step % kStepsPerPeriod);
    if (stage < kStages.size()) {
      due.push_back(kStages.at(stage));
    }
  }
  return due;
}

}
