#include "decision/internal/upstreamhealth.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

bool
UpstreamHealth::RecordFailure(UpstreamId aUpstream,
                              bool aBeforeRunning,
                              TimePoint aNow,
                              std::size_t aPoolSize,
                              std::size_t aEjectedInPool)
{
  Record& record = m_records[aUpstream];
  record.consecutiveFailures++;
  record.beforeRunning = aBeforeRunning;
  if (record.ejected) {
    record.ejectionTime = std::min(record.ejectionTime * 2, kMaxEjectionTime);
    record.nextProbe = aNow + record.ejectionTime;
    return false;
  }
  const auto maxEjected = kMaxEjectedRatio * static_cast<double>(aPoolSize);
  const bool tooManyEjected =
    static_cast<double>(aEjectedInPool + 1) > maxEjected;
  if (record.consecutiveFailures < kFailuresToEject || tooManyEjected) {
    return false;
  }
  record.ejected = true;
  record.ejectionTime = kMinEjectionTime;
  record.nextProbe = aNow + record.ejectionTime;
  return true;
}

bool
UpstreamHealth::RecordAnswer(UpstreamId aUpstream)
{
  const auto found = m_records.find(aUpstream);
  if (found == m_records.end()) {
    return false;
  }
  const bool wasEjected = found->second.ejected;
  m_records.erase(found);
  return wasEjected;
}

bool
UpstreamHealth::IsEjected(UpstreamId aUpstream) const
{
  const auto found = m_records.find(aUpstream);
  return found != m_records.end() && found->second.ejected;
}

bool
UpstreamHealth::LastFailedBeforeRunning(UpstreamId aUpstream) const
{
  const auto found = m_records.find(aUpstream);
  return found != m_records.end() && found->second.beforeRunning;
}

bool
UpstreamHealth::MayProbe(UpstreamId aUpstream, TimePoint aNow) const
{
  const auto found = m_records.find(aUpstream);
  return found != m_records.end() && found->second.ejected &&
         aNow >= found->second.nextProbe;
}

void
UpstreamHealth::RecordProbe(UpstreamId aUpstream, TimePoint aNow)
{
  Record& record = m_records[aUpstream];
  record.nextProbe = aNow + record.ejectionTime;
}

}
