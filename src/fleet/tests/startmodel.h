#pragma once

#include "fleet/exchangeplan.h"
#include "fleet/sourceoptions.h"
#include "fleet/sourceselector.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! What a simulated start of many routers is made of.
struct StartLoad
{
  std::size_t routers = 600;
  std::size_t upstreams = 6000;
  Duration spread{ 300 };  //!< within which all routers start
  Duration seedWait{ 40 }; //!< see SourceContext
  std::size_t running = 0; //!< routers that were not restarted; never seeds
  double storeCallsPerSecond = 16000;
};

struct StartResult
{
  Duration lastHasList{}; //!< from the first start until all have the list
  int storeCalls = 0;
  std::size_t withoutList = 0; //!< routers that still have none at the end
  Duration oldestProof{};      //!< of any router after it got the list
};

//! Simulates in virtual time how routers that start at the same moment get the
//! list of upstreams: from seeds, the store or each other. Uses the source
//! selection of the routers; transfers and the store's pages take the time that
//! a router on an eighth of a core needs for them.
class StartSimulation
{
public:
  explicit StartSimulation(const StartLoad& aLoad);

  StartResult Run(Duration aLength);

private:
  struct Router
  {
    FleetMember member;
    ExchangePlan plan;
    SourceSelector selector;
    TimePoint startsAt{};
    bool isSeed = false;
    bool hasList = false;
    bool listsStore = true; //!< reads pages until the next watch
    TimePoint provenAt{};
    std::size_t pagesLeft = 0; //!< of a listing in progress
    TimePoint pageDoneAt{};    //!< end of the call in progress, or backoff
    bool callPending = false;
    bool isReceiving = false; //!< the list, from the current source
    TimePoint receivedAt{};
    TimePoint sendsUntil{}; //!< end of the lists that it is sending
  };

  void Step(Router& aRouter);
  void UpdateOptions(Router& aRouter);
  void DropWork(Router& aRouter);
  void ReadStore(Router& aRouter);
  void FollowRouter(Router& aRouter);
  void FinishList(Router& aRouter);
  bool HasStarted(const Router& aRouter) const
  {
    return m_now >= aRouter.startsAt;
  }

  //! Tells all routers of the reader with the newest proof, as reports do.
  void ShareFreshestReader();

  FreshestReader m_freshestReader;
  StartLoad m_load;
  TimePoint m_now{ 100000 };
  TimePoint m_begin = m_now;
  std::vector<Router> m_routers;
  std::map<std::string, Router*> m_byAddress;
  std::vector<base::Address> m_seeds;
  double m_callTokens = 0; //!< calls that the store answers now
  StartResult m_result;
};

}
