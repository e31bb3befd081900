#pragma once

#include "decision/decisiontypes.h"

#include <deque>

namespace hemlockgauge::decision {

//! Holds the queued requests of one workspace at this router and accounts for
//! its running requests and the slot time it has used.
class WorkspaceQueue
{
public:
  void Configure(const std::string& aService,
                 const document::Workspace& aWorkspace);

  void Push(RequestId aRequest) { m_queued.push_back(aRequest); }
  void PushFront(RequestId aRequest) { m_queued.push_front(aRequest); }
  bool Remove(RequestId aRequest);
  RequestId Front() const { return m_queued.front(); }
  const std::deque<RequestId>& Queued() const { return m_queued; }
  std::uint32_t Waiting() const
  {
    return static_cast<std::uint32_t>(m_queued.size());
  }
  std::uint32_t Running() const { return m_running; }
  std::uint32_t Demand() const { return Waiting() + m_running; }

  //! Counts a request as running and charges its estimated service time, which
  //! is returned.
  Duration StartRequest(TimePoint aNow);
  //! Replaces the estimate aEstimate by the measured service time.
  void EndRequest(TimePoint aStarted, TimePoint aNow, Duration aEstimate);

  //! Slot time used until aNow, running requests included.
  Duration ServedAt(TimePoint aNow) const;
  Duration MeanServiceTime() const;

  //! Service divided by the local weight; the lowest is dispatched first.
  double VirtualTime() const { return m_virtualTime; }
  void LiftVirtualTime(double aFloor);
  void LowerVirtualTime(double aCeiling);
  //! Consumes a token of the request rate limit, of which this router applies
  //! the ratio aRatio; returns false if there is none.
  bool TakeRateToken(TimePoint aNow, double aRatio);

  const std::string& Service() const { return m_service; }
  const document::Workspace& Spec() const { return m_spec; }

  // Set by Pool::RefreshShares.
  double entitledHere = 0;       //!< slots, of this router
  double entitledFleet = 0;      //!< slots, of the whole fleet
  std::uint32_t demandFleet = 0; //!< requests queued and running
  bool backlogged = false;       //!< the demand exceeds the entitlement
  bool inDocuments = true;       //!< set by Pool::Configure

private:
  double LocalWeight() const;

  std::string m_service;
  document::Workspace m_spec;
  std::deque<RequestId> m_queued;
  std::uint32_t m_running = 0;
  Duration m_finishedTime{}; //!< slot time of ended requests
  Duration m_startTimeSum{}; //!< sum of the start times of running requests
  double m_meanServiceMs = 0;
  double m_virtualTime = 0;
  double m_rateTokens = 0;
  TimePoint m_rateTokensAt{};
};

}
