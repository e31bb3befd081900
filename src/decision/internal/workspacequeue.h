#pragma once

#include "decision/decisiontypes.h"

#include <deque>

namespace hemlockgauge::decision {

//! One workspace at this router: what waits, what runs and what it got.
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

  //! Charges the guessed cost; returns it.
  Duration Started(TimePoint aNow);
  //! Corrects the guess to the measured cost.
  void Ended(TimePoint aStarted, TimePoint aNow, Duration aGuess);

  //! Slot time got until now, running requests included.
  Duration ServedAt(TimePoint aNow) const;
  Duration MeanCost() const;

  //! Weighted service for the local order; the least goes first.
  double VirtualTime() const { return m_virtualTime; }
  void LiftVirtualTime(double aFloor);
  void LowerVirtualTime(double aCeiling);
  bool TakeRateToken(TimePoint aNow, double aPart);

  const std::string& Service() const { return m_service; }
  const document::Workspace& Spec() const { return m_spec; }

  // Set at each recomputation of shares.
  double entitledHere = 0;
  double entitledFleet = 0;
  std::uint32_t demandFleet = 0;
  bool backlogged = false;
  bool inDocuments = true;

private:
  double LocalWeight() const;

  std::string m_service;
  document::Workspace m_spec;
  std::deque<RequestId> m_queued;
  std::uint32_t m_running = 0;
  Duration m_finished{};
  Duration m_startSum{};
  double m_meanCostMs = 0;
  double m_virtualTime = 0;
  double m_rateTokens = 0;
  TimePoint m_rateAt{};
};

}
