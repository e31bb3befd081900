#include "decision/internal/upstreamhealth.h"

#include "decision/decisionconstants.h"

#include <algorithm>

namespace hemlockgauge::decision {

bool
UpstreamHealth::Failed(UpstreamId aUpstream,
                       bool aBeforeRunning,
                       TimePoint aNow,
                       std::size_t aPoolSize,
                       std::size_t aEjectedInPool)
{
  Record& record = m_records[aUpstream];
  record.failuresInRow++;
  record.beforeRunning = aBeforeRunning;
  if (record.ejected) {
    record.ejection = std::min(record.ejection * 2, kLongestEjection);
    record.nextProbe = aNow + record.ejection;
    return false;
  }
  const auto most = kMaxEjectedPart * static_cast<double>(aPoolSize);
  const bool belowFloor = static_cast<double>(aEjectedInPool + 1) > most;
  if (record.failuresInRow < kFailuresToEject || belowFloor) {
    return false;
  }
  record.ejected = true;
  record.ejection = kFirstEjection;
  record.nextProbe = aNow + record.ejection;
  return true;
}

bool
UpstreamHealth::Succeeded(UpstreamId aUpstream)
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
UpstreamHealth::FailedBeforeRunning(UpstreamId aUpstream) const
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
UpstreamHealth::ProbeSent(UpstreamId aUpstream, TimePoint aNow)
{
  Record& record = m_records[aUpstream];
  record.nextProbe = aNow + record.ejection;
}

}
