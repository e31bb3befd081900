#pragma once

#include "load/call.h"
#include "load/fleetsampler.h"
#include "load/plan.h"
#include "metrics/latencyhistogram.h"

#include <curl/curl.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hemlockgauge::load {

struct Tally
{
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;
  std::uint64_t refusedNotRun = 0;
  std::uint64_t mayHaveRun = 0;
  std::uint64_t cut = 0;
  std::uint64_t wrong = 0;
  std::uint64_t lost = 0;
  std::uint64_t tokens = 0;
  metrics::LatencyHistogram firstToken;
  metrics::LatencyHistogram betweenTokens;
};

//! Runs a plan against real routers.
class LoadRun
{
public:
  explicit LoadRun(const Plan& aPlan);
  ~LoadRun();

  void Run();
  //! One line of key=value pairs for all, and one for each workspace.
  std::string Summary(const FleetSampler::Result& aFleet) const;
  //! No request lost, answered wrongly or run twice.
  bool IsGood() const;

private:
  struct Source
  {
    double nextArrival = 0;
    std::uint32_t inProgress = 0;
    std::size_t nextRouter = 0;
  };
  struct Delayed
  {
    double at = 0;
    std::unique_ptr<Call> call;
  };

  double Seconds() const;
  void StartDue();
  void StartDelayed();
  void StartOne(std::size_t aWorkspace);
  void Begin(std::unique_ptr<Call> aCall);
  void TakeEnded();
  void Settle(std::unique_ptr<Call> aCall, CallEnd aEnd);
  void Progress();
  void OpenIdle();
  void CountDoubled();
  std::string NextRouter(std::size_t aWorkspace);

  const Plan& m_plan;
  CURLM* m_multi;
  std::mt19937_64 m_random;
  Clock::time_point m_start = Clock::now();
  std::vector<Source> m_sources;
  std::vector<Tally> m_tallies;
  std::map<Call*, std::unique_ptr<Call>> m_calls;
  std::vector<Delayed> m_delayed;
  std::uint64_t m_nextSeed = 1;
  std::uint64_t m_doubled = 0;
  std::vector<int> m_idle;
  double m_lastProgress = 0;
};

}
