#pragma once

#include "decision/decisiontypes.h"

#include <map>

namespace hemlockgauge::decision {

//! Ejects an upstream after kFailuresToEject consecutive failures and readmits
//! it when a single request, the probe, succeeds there. At most
//! kMaxEjectedRatio of a pool is ejected at a time.
class UpstreamHealth
{
public:
  //! Counts a failed attempt and returns true if it ejects the upstream.
  //! aBeforeRunning: the request did not run.
  bool RecordFailure(UpstreamId aUpstream,
                     bool aBeforeRunning,
                     TimePoint aNow,
                     std::size_t aPoolSize,
                     std::size_t aEjectedInPool);
  //! Resets the failures and returns true if this readmits the upstream.
  bool RecordAnswer(UpstreamId aUpstream);
  bool IsEjected(UpstreamId aUpstream) const;
  //! Whether the request of the last failure did not run.
  bool LastFailedBeforeRunning(UpstreamId aUpstream) const;
  //! Whether a single request may probe an ejected upstream now.
  bool MayProbe(UpstreamId aUpstream, TimePoint aNow) const;
  //! Schedules the next probe.
  void RecordProbe(UpstreamId aUpstream, TimePoint aNow);

private:
  struct Record
  {
    int consecutiveFailures = 0;
    bool ejected = false;
    bool beforeRunning = false;
    Duration ejectionTime{};
    TimePoint nextProbe{};
  };
  std::map<UpstreamId, Record> m_records;
};

}
