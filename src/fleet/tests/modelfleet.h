#pragma once

#include "fleet/fleet.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <tuple>
#include <vector>

namespace hemlockgauge::fleet {

//! Simulates routers that know each other through delayed reports, in virtual
//! time.
class ModelFleet
{
public:
  //! aReportDelay: how long a report takes to reach the other routers.
  explicit ModelFleet(Duration aReportDelay)
    : m_reportDelay(aReportDelay)
  {
  }

  Fleet& Add(const FleetSettings& aSettings);
  std::size_t Size() const { return m_fleets.size(); }
  Fleet& At(std::size_t aRouter) { return *m_fleets.at(aRouter); }

  TimePoint Now() const { return m_now; }
  Duration SinceStart() const { return m_now - kStart; }
  //! Schedules an action. Actions of the same time run in this order.
  void Schedule(TimePoint aAt, std::function<void()> aAction);
  //! Starts a router's reports after aOffset, one each kReportInterval.
  void StartReports(std::size_t aRouter, Duration aOffset);
  //! Drops all reports from and to this router from now on, or no longer.
  void SetCutOff(std::size_t aRouter, bool aIsCut);
  //! Runs the events that are due within aLength of the start.
  void Run(Duration aLength);

private:
  struct Event
  {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;

    bool operator<(const Event& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };

  void Report(std::size_t aRouter);

  static constexpr TimePoint kStart{ 100000 };

  Duration m_reportDelay;
  TimePoint m_now = kStart;
  std::uint64_t m_nextOrder = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Fleet>> m_fleets;
  std::set<std::size_t> m_cutOff;
};

}
