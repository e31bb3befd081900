#include "decision/internal/workspacequeue.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

constexpr double kMinWeight = 0.05;
constexpr double kCostSmoothing = 0.1;

}

void
WorkspaceQueue::Configure(const std::string& aService,
                          const document::Workspace& aWorkspace)
{
  m_service = aService;
  m_spec = aWorkspace;
}

bool
WorkspaceQueue::Remove(RequestId aRequest)
{
  const auto at = std::find(m_queued.begin(), m_queued.end(), aRequest);
  if (at == m_queued.end()) {
    return false;
  }
  m_queued.erase(at);
  return true;
}

double
WorkspaceQueue::LocalWeight() const
{
  return std::max(kMinWeight, entitledHere);
}

Duration
WorkspaceQueue::Started(TimePoint aNow)
{
  const Duration guess = MeanCost();
  m_running++;
  m_startSum += aNow;
  m_virtualTime += static_cast<double>(guess.count()) / LocalWeight();
  return guess;
}

void
WorkspaceQueue::Ended(TimePoint aStarted, TimePoint aNow, Duration aGuess)
{
  const Duration cost = aNow - aStarted;
  m_running--;
  m_startSum -= aStarted;
  m_finished += cost;
  m_virtualTime += static_cast<double>((cost - aGuess).count()) / LocalWeight();
  const auto measured = static_cast<double>(cost.count());
  m_meanCostMs = m_meanCostMs == 0
                   ? measured
                   : m_meanCostMs + kCostSmoothing * (measured - m_meanCostMs);
}

Duration
WorkspaceQueue::ServedAt(TimePoint aNow) const
{
  return m_finished + aNow * m_running - m_startSum;
}

Duration
WorkspaceQueue::MeanCost() const
{
  return m_meanCostMs == 0 ? kFirstCostGuess
                           : Duration(static_cast<std::int64_t>(m_meanCostMs));
}

void
WorkspaceQueue::LiftVirtualTime(double aFloor)
{
  m_virtualTime = std::max(m_virtualTime, aFloor);
}

void
WorkspaceQueue::LowerVirtualTime(double aCeiling)
{
  m_virtualTime = std::min(m_virtualTime, aCeiling);
}

bool
WorkspaceQueue::TakeRateToken(TimePoint aNow, double aPart)
{
  if (m_spec.maxRequestsPerSecond == 0) {
    return true;
  }
  const double rate = m_spec.maxRequestsPerSecond * aPart;
  const double seconds = std::chrono::duration<double>(aNow - m_rateAt).count();
  m_rateTokens = std::min(std::max(1.0, rate), m_rateTokens + rate * seconds);
  m_rateAt = aNow;
  if (m_rateTokens < 1.0) {
    return false;
  }
  m_rateTokens -= 1.0;
  return true;
}

}
