#pragma once

#include "timer/itimerservice.h"

#include <memory>
#include <vector>

class ACE_Reactor;

namespace hemlockgauge::timer {

class PeriodicHandler;

//! Timer service on an ACE reactor. The reactor must outlive the service.
class ReactorTimerService : public ITimerService
{
public:
  explicit ReactorTimerService(ACE_Reactor& aReactor);
  ~ReactorTimerService() override;

  void SchedulePeriodic(base::Duration aPeriod,
                        std::function<void()> aCallback) override;
  base::TimePoint Now() const override;

private:
  ACE_Reactor& m_reactor;
  std::vector<std::unique_ptr<PeriodicHandler>> m_handlers;
};

}
