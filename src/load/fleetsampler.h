#pragma once

#include "load/plan.h"

#include <atomic>
#include <map>
#include <string>
#include <thread>

namespace hemlockgauge::load {

//! Reads the routers' status pages while a load runs, for what only the
//! fleet as a whole shows.
class FleetSampler
{
public:
  struct Result
  {
    double worstGapSeconds = 0; //!< largest of the run, in seconds of a share
    double meanGapSeconds = 0;
    double endGapSeconds = 0;
    double utilisation = 0; //!< slot time used while work waited
    double controlBytesPerRouterSecond = 0; //!< both directions
    double mostControlBytesPerRouterSecond = 0;
    std::uint64_t invariantsBroken = 0;
    std::uint64_t samples = 0;
  };

  explicit FleetSampler(const Plan& aPlan);
  ~FleetSampler();

  Result Finish();

private:
  struct Router
  {
    std::map<std::string, double> served;
    double bytes = 0;
    double firstBytes = -1;
    std::uint64_t invariants = 0;
  };

  void Run();
  void ReadRouter(std::size_t aIndex);
  void Sample(double aSeconds);

  const Plan& m_plan;
  std::atomic<bool> m_stop{ false };
  std::map<std::size_t, Router> m_routers;
  std::map<std::string, double> m_total; //!< slot seconds by workspace
  std::map<std::string, double> m_start;
  double m_startSecond = -1;
  double m_lastSecond = 0;
  double m_usedAtStart = 0;
  double m_gapSum = 0;
  Result m_result;
  std::thread m_thread;
};

}
