#include "decision/internal/lagtracker.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

//! The service of several seconds may arrive in one update after a hop of the
//! tree was delayed.
constexpr double kStaleSeconds = 4.0;

}

void
LagTracker::Observe(WorkspaceId aWorkspace,
                    const Demand& aTotal,
                    double aEntitled,
                    double aCapacity,
                    bool aBacklogged,
                    TimePoint aNow)
{
  Record& record = m_records[aWorkspace];
  if (!aBacklogged || aEntitled <= 0) {
    record = {};
    return;
  }
  if (!record.backlogged) {
    record.backlogged = true;
    record.since = aNow;
    record.entitledAt = aNow;
  }
  const auto elapsed = static_cast<double>((aNow - record.entitledAt).count());
  record.entitledSlotMs += elapsed * aEntitled;
  record.entitledAt = aNow;
  if (aTotal.at < record.since || aTotal.at <= record.at) {
    return;
  }
  if (record.counting) {
    CountStep(record, aTotal, aCapacity);
  }
  record.counting = true;
  record.served = aTotal.served;
  record.at = aTotal.at;
  record.entitledSlotMs = 0;
}

//! NOTE the counter wraps around, and decreases when a router is lost together
//! with its part of the sum. Both appear as an impossible step, which is
//! ignored.
void
LagTracker::CountStep(Record& aRecord, const Demand& aTotal, double aCapacity)
{
  const auto step = static_cast<std::int32_t>(aTotal.served - aRecord.served);
  const double slotSeconds = step * (kServedUnitMs / 1000.0);
  const auto millis = static_cast<double>((aTotal.at - aRecord.at).count());
  const double seconds = millis / 1000.0;
  const bool possible =
    step >= 0 && slotSeconds <= aCapacity * (seconds + kStaleSeconds);
  if (!possible || aRecord.entitledSlotMs <= 0) {
    return;
  }
  const double entitled = aRecord.entitledSlotMs / millis;
  aRecord.secondsBehind =
    std::clamp(aRecord.secondsBehind + seconds - slotSeconds / entitled,
               -kMaxLagSeconds,
               kMaxLagSeconds);
}

void
LagTracker::Adopt(WorkspaceId aWorkspace, double aSecondsBehind)
{
  Record& record = m_records[aWorkspace];
  record = {};
  record.secondsBehind = aSecondsBehind;
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
