#pragma once

#include "fleet/fleettypes.h"

namespace hemlockgauge::fleet {

//! Judges one upstream by what callers got from it. Not by health pages:
//! those can say either without being true.
class UpstreamHealth
{
public:
  void Succeeded(TimePoint aNow);
  //! An answer that says failure although the upstream is there: counts
  //! towards the part of failures only.
  void AnsweredFailure(TimePoint aNow);
  //! Broken, silent, not to be reached. Returns true if this one takes it
  //! out for a while; aMayEject: its service can spare one more.
  bool Failed(TimePoint aNow, bool aMayEject);
  //! Whether requests may go there, but for a single one as a trial after
  //! each ejection.
  bool IsEjected(TimePoint aNow) const { return aNow < m_ejectedUntil; }
  //! Part of its last answers that failed, 0 to 1. It fades, or one that gets
  //! no requests for its failures would never get one again.
  double FailurePart(TimePoint aNow) const;

private:
  void Count(double aFailure, TimePoint aNow);

  double m_failurePart = 0;
  TimePoint m_countedAt{};
  int m_inRow = 0;
  Duration m_ejection{};
  TimePoint m_ejectedUntil{};
};

}
