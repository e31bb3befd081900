#include "timer/internal/reactortimerservice.h"

#include "base/error.h"
#include "base/monotonicclock.h"
#include "timer/periodichandler.h"

#include <ace/Reactor.h>
#include <ace/Time_Value.h>

#include <chrono>

namespace hemlockgauge::timer {

ReactorTimerService::ReactorTimerService(ACE_Reactor& aReactor)
  : m_reactor(aReactor)
{
}

ReactorTimerService::~ReactorTimerService()
{
  for (const auto& handler : m_handlers) {
    m_reactor.cancel_timer(handler.get());
  }
}

void
ReactorTimerService::SchedulePeriodic(base::Duration aPeriod,
                                      std::function<void()> aCallback)
{
  auto& handler = m_handlers.emplace_back(
    std::make_unique<PeriodicHandler>(std::move(aCallback)));
  const ACE_Time_Value period(
    std::chrono::duration_cast<std::chrono::microseconds>(aPeriod));
  if (m_reactor.schedule_timer(handler.get(), nullptr, period, period) == -1) {
    throw base::Error(base::ErrorCode::Internal,
                      "failed to schedule a periodic timer");
  }
}

base::TimePoint
ReactorTimerService::Now() const
{
  return base::MonotonicNow();
}

}
