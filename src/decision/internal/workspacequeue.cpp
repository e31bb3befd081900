#include "decision/internal/workspacequeue.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

constexpr double kMinWeight = 0.05;
constexpr double kServiceTimeGain = 0.1;

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
WorkspaceQueue::StartRequest(TimePoint aNow)
{
  const Duration estimatedServiceTime = MeanServiceTime();
  m_running++;
  m_startTimeSum += aNow;
  m_virtualTime +=
    static_cast<double>(estimatedServiceTime.count()) / LocalWeight();
  return estimatedServiceTime;
}

void
WorkspaceQueue::EndRequest(TimePoint aStarted,
                           TimePoint aNow,
                           Duration aEstimate)
{
  const Duration serviceTime = aNow - aStarted;
  m_running--;
  m_startTimeSum -= aStarted;
  m_finishedTime += serviceTime;
  m_virtualTime +=
    static_cast<double>((serviceTime - aEstimate).count()) / LocalWeight();
  const auto measured = static_cast<double>(serviceTime.count());
  m_meanServiceMs =
    m_meanServiceMs == 0
      ? measured
      : m_meanServiceMs + kServiceTimeGain * (measured - m_meanServiceMs);
}

Duration
WorkspaceQueue::ServedAt(TimePoint aNow) const
{
  return m_finishedTime + aNow * m_running - m_startTimeSum;
}

Duration
WorkspaceQueue::MeanServiceTime() const
{
  return m_meanServiceMs == 0
           ? kInitialServiceTime
           : Duration(static_cast<std::int64_t>(m_meanServiceMs));
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
WorkspaceQueue::TakeRateToken(TimePoint aNow, double aRatio)
{
  if (m_spec.maxRequestsPerSecond == 0) {
    return true;
  }
  const double rate = m_spec.maxRequestsPerSecond * aRatio;
  const double seconds =
    std::chrono::duration<double>(aNow - m_rateTokensAt).count();
  m_rateTokens = std::min(std::max(1.0, rate), m_rateTokens + rate * seconds);
  m_rateTokensAt = aNow;
  if (m_rateTokens < 1.0) {
    return false;
  }
  m_rateTokens -= 1.0;
  return true;
}

}
