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

//! Counters and latencies of one workspace's requests.
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

//! Generates the load of a plan against real routers and checks the responses.
class LoadRun
{
public:
  explicit LoadRun(const Plan& aPlan);
  ~LoadRun();

  void Run();
  //! One line of key=value pairs per workspace, and one for the whole run.
  std::string Summary(const FleetSampler::Result& aFleet) const;
  //! Returns whether no request was lost, answered wrongly or, if it may not be
  //! repeated, run twice.
  bool IsGood() const;

private:
  struct Source
  {
    double nextArrival = 0;
    std::uint32_t inProgress = 0;
    std::size_t nextRouter = 0;
  };
  struct PendingRetry
  {
    double at = 0;
    std::unique_ptr<Call> call;
  };

  double Seconds() const;
  void StartDueRequests();
  void StartDueRetries();
  void StartRequest(std::size_t aWorkspace);
  void StartAttempt(std::unique_ptr<Call> aCall);
  void HandleCompletedAttempts();
  void HandleOutcome(std::unique_ptr<Call> aCall, CallOutcome aOutcome);
  void PrintProgress();
  void OpenIdleConnections();
  void CountDoubleRuns();
  std::string NextRouter(std::size_t aWorkspace);

  const Plan& m_plan;
  CURLM* m_multi;
  std::mt19937_64 m_random;
  Clock::time_point m_start = Clock::now();
  std::vector<Source> m_sources;
  std::vector<Tally> m_tallies;
  std::map<Call*, std::unique_ptr<Call>> m_calls;
  std::vector<PendingRetry> m_retries;
  std::uint64_t m_nextSeed = 1;
  std::uint64_t m_doubleRuns = 0;
  std::vector<int> m_idleSockets;
  double m_lastProgressAt = 0;
};

}
