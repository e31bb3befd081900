#include "gateway/callerintake.h"

#include <utility>

namespace hemlockgauge::gateway {

namespace {

using namespace std::chrono_literals;

//! A caller that connects again within this has come back.
constexpr base::Duration kReturnsWithin = 1000ms;

}

void
CallerIntake::CountTurnedAway(std::uint32_t aAddress, base::TimePoint aNow)
{
  m_counts.turnedAway++;
  m_turnedAway[aAddress % kRemembered] = { aAddress, aNow };
}

void
CallerIntake::CountReturn(std::uint32_t aAddress, base::TimePoint aNow)
{
  const auto& known = m_turnedAway[aAddress % kRemembered];
  if (known.address == aAddress && aNow - known.at <= kReturnsWithin) {
    m_counts.returned++;
  }
}

IntakeCounts
CallerIntake::Take()
{
  return std::exchange(m_counts, {});
}

}
