#pragma once

#include "fleet/fleet.h"

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! A model engine: reads prompts one after another in the order of arrival,
//! keeps what it read while there is memory, and generates at a fixed pace.
class ModelEngine
{
public:
  ModelEngine(double aTokensPerMs, std::uint32_t aMemory);

  //! Returns when the first token of aWork is made, if it is sent at aNow.
  TimePoint Read(const Work& aWork, TimePoint aNow);
  double TokensRead() const { return m_read; }

private:
  std::uint32_t Missing(const Work& aWork);
  void Keep(const PromptPart& aPart);

  double m_tokensPerMs;
  std::uint32_t m_memory;
  std::uint32_t m_used = 0;
  double m_read = 0;
  double m_busyUntil = 0;       //!< ms
  std::list<PromptPart> m_kept; //!< the least recently used last
  std::map<std::uint64_t, std::list<PromptPart>::iterator> m_byPart;
};

//! One kind of request of the load.
struct ModelKind
{
  std::uint32_t headTokens = 0; //!< shared by many prefixes
  int heads = 1;
  std::uint32_t sharedTokens = 0;
  std::uint32_t ownTokens = 0;
  std::uint32_t outputTokens = 0;
  int prefixes = 1;
  Duration target{ 500 };
  double perSecond = 0; //!< of all workspaces
};

struct ModelLoad
{
  int routers = 6;
  int engines = 18;
  int workspaces = 16;
  double engineTokensPerMs = 38.7;
  double tokensPerSecond = 390000;
  Duration reportDelay{ 5 };
  Duration length{ 12000 };
  //! What is served before this is not counted: caches fill up.
  Duration warmUp{ 4000 };
  std::vector<ModelKind> kinds;
  //! How much a workspace asks against a usual one, by time.
  std::function<double(int, Duration)> factor = [](int, Duration) {
    return 1.0;
  };
};

//! What became of a workspace's requests.
struct ModelOutcome
{
  double asked = 0;  //!< cost of its requests
  double begun = 0;  //!< of those that were taken
  double inTime = 0; //!< of those that had their first token in time
  int requests = 0;
  int taken = 0;
  int takenOwed = 0;   //!< inside the share
  int takenBehind = 0; //!< beyond it, far behind others
  std::vector<double> firstTokenMs;
};

struct ModelResult
{
  std::vector<ModelOutcome> workspaces;
  double tokensRead = 0; //!< by all engines

  ModelOutcome Sum() const;
};

//! Plays a load against real Fleet objects that know of each other by
//! delayed reports, in virtual time; a refused request does not come back.
ModelResult
Play(const ModelLoad& aLoad, std::uint32_t aSeed);

}
