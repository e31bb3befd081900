#pragma once

#include "load/plan.h"

#include <atomic>
#include <map>
#include <string>
#include <thread>

namespace hemlockgauge::load {

//! Polls the routers' status pages during a load run, in a thread of its own,
//! and computes the results that concern the whole fleet.
class FleetSampler
{
public:
  struct Result
  {
    double worstGapSeconds =
      0; //!< maximum fairness gap: seconds of work at the fair share
    double meanGapSeconds = 0;
    double endGapSeconds = 0;
    double utilisation = 0; //!< ratio of slot time used after the warm-up
    double controlBytesPerRouterSecond = 0; //!< mean, sent and received
    double maxControlBytesPerRouterSecond = 0;
    std::uint64_t invariantsBroken = 0;
    std::uint64_t samples = 0;
  };

  explicit FleetSampler(const Plan& aPlan);
  ~FleetSampler();

  //! Stops the polling and returns the results.
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
  void PollRouter(std::size_t aIndex);
  void Sample(double aSeconds);

  const Plan& m_plan;
  std::atomic<bool> m_stop{ false };
  std::map<std::size_t, Router> m_routers;
  std::map<std::string, double> m_served; //!< served slot seconds by workspace
  std::map<std::string, double> m_servedAtStart;
  double m_startSecond = -1;
  double m_lastSecond = 0;
  double m_usedAtStart = 0;
  double m_gapSum = 0;
  Result m_result;
  std::thread m_thread;
};

}
