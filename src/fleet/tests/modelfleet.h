#pragma once

#include "fleet/fleet.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <tuple>
#include <vector>

namespace hemlockgauge::fleet {

//! Routers that know of each other by delayed reports, in virtual time.
class ModelFleet
{
public:
  //! aNewsDelay: of a report on its way to the others.
  explicit ModelFleet(Duration aNewsDelay)
    : m_newsDelay(aNewsDelay)
  {
  }

  Fleet& Add(const FleetSettings& aSettings);
  std::size_t Size() const { return m_fleets.size(); }
  Fleet& At(std::size_t aRouter) { return *m_fleets.at(aRouter); }

  TimePoint Now() const { return m_now; }
  Duration SinceStart() const { return m_now - kStart; }
  void Later(TimePoint aAt, std::function<void()> aWhat);
  //! A router's reports begin after aOffset; one each kReportPeriod.
  void StartReports(std::size_t aRouter, Duration aOffset);
  //! Reports between this router and the others get lost from now on, or no
  //! longer.
  void CutOff(std::size_t aRouter, bool aIsCut);
  //! Plays what is to happen within that time.
  void Run(Duration aLength);

private:
  struct Event
  {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> what;

    bool operator<(const Event& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };

  void Report(std::size_t aRouter);

  static constexpr TimePoint kStart{ 100000 };

  Duration m_newsDelay;
  TimePoint m_now = kStart;
  std::uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Fleet>> m_fleets;
  std::set<std::size_t> m_cutOff;
};

}
