#pragma once

#include "fleet/fleettypes.h"

#include <cstdint>
#include <deque>
#include <map>

namespace hemlockgauge::fleet {

//! The load on a router that is slower than its callers. Each caller opens a
//! new connection for each request.
struct FloodLoad
{
  double processorShare = 0.12; //!< of a core
  double requestsPerSecond = 1100;
  //! When the flood starts: requestsPerSecond are sent from then on, a tenth of
  //! that before.
  Duration floodStartsAt{};
  Duration length{ 6000 };
  //! Ratio of the requests that are inside their workspace's fair share.
  double insideShareRatio = 1.0;
};

struct FloodOutcome
{
  int requests = 0;
  int served = 0;
  int servedInTime = 0; //!< within 500 ms of the first attempt
  int refused = 0;      //!< refused again on the retry after Retry-After
  int failed = 0;       //!< given up unread
};

//! Simulates the event loop of one router in virtual time. Accepting a
//! connection, reading and refusing a request, and serving one each cost a
//! fixed processor time, given for a whole core.
class BusyRouterModel
{
public:
  BusyRouterModel(const FloodLoad& aLoad, std::uint32_t aSeed);

  FloodOutcome Run();

private:
  using Micros = std::int64_t;

  struct Caller
  {
    Micros firstSentAt = 0; //!< its first attempt
    Micros sentAt = 0;      //!< this attempt
    bool isInsideShare = true;
    int unreadAttempts = 0; //!< attempts dropped by the full queue or timed out
    bool wasRefused = false;
  };

  void ScheduleArrivals(std::uint32_t aSeed);
  void ConnectArrivals();
  void Connect(Caller aCaller);
  void Accept();
  void Read();
  void Spend(Micros aCoreTime);
  void RetryLater(Caller aCaller, Micros aWait);
  bool HasTimedOut(const Caller& aCaller) const;
  Duration BusyFor() const;
  bool PollWork();

  FloodLoad m_load;
  Micros m_now = 0;
  Micros m_idleAt = 0;
  std::multimap<Micros, Caller> m_arrivals;
  std::deque<Caller> m_acceptQueue; //!< connections not yet accepted
  std::deque<Caller> m_unread;      //!< accepted, request not yet read
  FloodOutcome m_outcome;
};

}
