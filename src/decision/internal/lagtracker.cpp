#include "decision/internal/lagtracker.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

void
LagTracker::Observe(WorkspaceId aWorkspace,
                    const Demand& aTotal,
                    double aEntitled,
                    double aCapacity,
                    bool aBacklogged)
{
  Record& record = m_records[aWorkspace];
  if (!aBacklogged || aEntitled <= 0) {
    record = {};
    return;
  }
  if (!record.counting) {
    record = { true, aTotal.served, aTotal.at, 0 };
    return;
  }
  if (aTotal.at <= record.at || aTotal.served == record.served) {
    return;
  }
  //! NOTE the counter wraps, and falls back when a router is lost with its
  //! part of the sum; both show as an impossible step.
  const auto step = static_cast<std::int32_t>(aTotal.served - record.served);
  const double slotSeconds = step * (kServedUnitMs / 1000.0);
  const double seconds =
    std::chrono::duration<double>(aTotal.at - record.at).count();
  const bool possible = step >= 0 && slotSeconds <= aCapacity * (seconds + 4);
  if (possible) {
    record.secondsBehind += seconds - slotSeconds / aEntitled;
    record.secondsBehind =
      std::clamp(record.secondsBehind, -kMaxLagSeconds, kMaxLagSeconds);
  }
  record.served = aTotal.served;
  record.at = aTotal.at;
}

void
LagTracker::Centre(const std::map<WorkspaceId, double>& aEntitled)
{
  double sum = 0;
  double weights = 0;
  for (const auto& [workspace, entitled] : aEntitled) {
    sum += entitled * m_records[workspace].secondsBehind;
    weights += entitled;
  }
  if (weights <= 0) {
    return;
  }
  for (const auto& [workspace, entitled] : aEntitled) {
    m_records[workspace].secondsBehind -= sum / weights;
  }
}

double
LagTracker::SecondsBehind(WorkspaceId aWorkspace) const
{
  const auto found = m_records.find(aWorkspace);
  return found == m_records.end() ? 0 : found->second.secondsBehind;
}

}
