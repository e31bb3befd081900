#pragma once

#include "decision/decisiontypes.h"

#include <map>

namespace hemlockgauge::decision {

//! Takes an upstream out after failures in a row and lets single requests
//! probe it back. Never takes out more than a part of a pool.
class UpstreamHealth
{
public:
  //! Returns true if this failure ejects the upstream.
  bool Failed(UpstreamId aUpstream,
              bool aBeforeRunning,
              TimePoint aNow,
              std::size_t aPoolSize,
              std::size_t aEjectedInPool);
  //! Returns true if this success brings it back.
  bool Succeeded(UpstreamId aUpstream);
  bool IsEjected(UpstreamId aUpstream) const;
  //! Whether its last failure was one that ran nothing.
  bool FailedBeforeRunning(UpstreamId aUpstream) const;
  //! Whether a single request may probe an ejected upstream now.
  bool MayProbe(UpstreamId aUpstream, TimePoint aNow) const;
  void ProbeSent(UpstreamId aUpstream, TimePoint aNow);

private:
  struct Record
  {
    int failuresInRow = 0;
    bool ejected = false;
    bool beforeRunning = false;
    Duration ejection{};
    TimePoint nextProbe{};
  };
  std::map<UpstreamId, Record> m_records;
};

}
