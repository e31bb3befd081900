#include "decision/internal/lagtracker.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

namespace {

//! An update may contain the service of this many seconds more than the time
//! since the last one, because a hop of the tree was delayed.
constexpr double kMaxUpdateDelaySeconds = 4.0;

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
    record.backloggedSince = aNow;
    record.entitledUntil = aNow;
  }
  const auto elapsed =
    static_cast<double>((aNow - record.entitledUntil).count());
  record.entitledSlotMs += elapsed * aEntitled;
  record.entitledUntil = aNow;
  if (aTotal.updatedAt < record.backloggedSince ||
      aTotal.updatedAt <= record.updatedAt) {
    return;
  }
  if (record.hasTotal) {
    AddStep(record, aTotal, aCapacity);
  }
  record.hasTotal = true;
  record.served = aTotal.served;
  record.updatedAt = aTotal.updatedAt;
  record.entitledSlotMs = 0;
}

//! NOTE the counter wraps around, and decreases when a router is lost together
//! with its part of the sum. Both appear as an impossible step, which is
//! ignored.
void
LagTracker::AddStep(Record& aRecord, const Demand& aTotal, double aCapacity)
{
  const auto step = static_cast<std::int32_t>(aTotal.served - aRecord.served);
  const double slotSeconds = step * (kServedUnitMs / 1000.0);
  const auto millis =
    static_cast<double>((aTotal.updatedAt - aRecord.updatedAt).count());
  const double seconds = millis / 1000.0;
  const bool possible =
    step >= 0 && slotSeconds <= aCapacity * (seconds + kMaxUpdateDelaySeconds);
  if (!possible || aRecord.entitledSlotMs <= 0) {
    return;
  }
  const double entitled = aRecord.entitledSlotMs / millis;
  aRecord.lagSeconds =
    std::clamp(aRecord.lagSeconds + seconds - slotSeconds / entitled,
               -kMaxLagSeconds,
               kMaxLagSeconds);
}

void
LagTracker::Adopt(WorkspaceId aWorkspace, double aLagSeconds)
{
  Record& record = m_records[aWorkspace];
  record = {};
  record.lagSeconds = aLagSeconds;
}

void
LagTracker::SubtractMean(const std::map<WorkspaceId, double>& aEntitled)
{
  double sum = 0;
  double weights = 0;
  for (const auto& [workspace, entitled] : aEntitled) {
    sum += entitled * m_records[workspace].lagSeconds;
    weights += entitled;
  }
  if (weights <= 0) {
    return;
  }
  for (const auto& [workspace, entitled] : aEntitled) {
    m_records[workspace].lagSeconds -= sum / weights;
  }
}

double
LagTracker::LagSeconds(WorkspaceId aWorkspace) const
{
  const auto found = m_records.find(aWorkspace);
  return found == m_records.end() ? 0 : found->second.lagSeconds;
}

}
