#pragma once

#include "fleet/fleet.h"

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! A model engine. It prefills prompts one after another in order of arrival,
//! caches prompt parts up to the size of its memory, and generates at a fixed
//! pace.
class ModelEngine
{
public:
  ModelEngine(double aTokensPerMs, std::uint32_t aCacheTokens);

  //! Starts to prefill aWork at aNow. Returns when its first token is
  //! generated.
  TimePoint Prefill(const Work& aWork, TimePoint aNow);
  double PrefilledTokens() const { return m_prefilledTokens; }

private:
  std::uint32_t MissingTokens(const Work& aWork);
  void Cache(const PromptPart& aPart);

  double m_tokensPerMs;
  std::uint32_t m_cacheTokens;
  std::uint32_t m_cachedTokens = 0;
  double m_prefilledTokens = 0;
  double m_busyUntil = 0;         //!< end of the prefill queue, in ms
  std::list<PromptPart> m_cached; //!< most recently used first
  std::map<std::uint64_t, std::list<PromptPart>::iterator> m_byPart;
};

//! A kind of request of the load. Its prompts consist of a head, a part shared
//! by the requests of one prefix, and a unique part.
struct RequestKind
{
  std::uint32_t headTokens = 0; //!< part shared by several prefixes
  int headCount = 1;
  std::uint32_t sharedTokens = 0;
  std::uint32_t uniqueTokens = 0;
  std::uint32_t outputTokens = 0;
  int prefixCount = 1;
  Duration target{ 500 };
  double requestsPerSecond = 0; //!< of all workspaces
};

//! The deployment and the load of a simulation.
struct ModelLoad
{
  int routers = 6;
  int engines = 18;
  int workspaces = 16;
  double engineTokensPerMs = 38.7;
  //! Nominal capacity of all engines.
  double tokensPerSecond = 390000;
  Duration reportDelay{ 5 };
  Duration length{ 12000 };
  //! Requests before this are not counted, while the caches fill up.
  Duration warmUp{ 4000 };
  std::vector<RequestKind> kinds;
  //! Demand of a workspace relative to a usual one, by its index and the time
  //! since the start.
  std::function<double(int, Duration)> demandFactor = [](int, Duration) {
    return 1.0;
  };
  //! Whether an engine accepts no connections, by its index and the time since
  //! the start. It stays listed.
  std::function<bool(int, Duration)> isDown = [](int, Duration) {
    return false;
  };
};

//! Outcome of a workspace's requests. Costs are in tokens.
struct ModelOutcome
{
  double requestedCost = 0; //!< cost of all requests
  double admittedCost = 0;  //!< cost of the admitted requests
  double inTimeCost = 0;    //!< cost of those whose first token was in time
  int requests = 0;
  int admitted = 0;
  int admittedInsideShare = 0; //!< admitted inside the fair share
  int admittedFarBehind = 0;   //!< admitted beyond it, far behind others
  std::vector<double> firstTokenMs;
};

struct ModelResult
{
  std::vector<ModelOutcome> workspaces;
  double prefilledTokens = 0; //!< prefilled by all engines

  ModelOutcome Sum() const;
};

//! Runs a load against real Fleet objects that know each other through delayed
//! reports, in virtual time. Refused requests are not retried.
ModelResult
SimulateLoad(const ModelLoad& aLoad, std::uint32_t aSeed);

}
