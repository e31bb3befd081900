#pragma once

#include "fleet/fleettypes.h"

namespace hemlockgauge::fleet {

//! Tracks the health of one upstream by the outcome of real requests. Health
//! check pages are not used, as they can report both states wrongly.
class UpstreamHealth
{
public:
  //! Records a successful answer and ends a series of failures.
  void Succeeded(TimePoint aNow);
  //! Records an answer with an error status. The upstream is reachable, so this
  //! counts towards the failure ratio only, not towards ejection.
  void AnsweredFailure(TimePoint aNow);
  //! Records an attempt that broke off, timed out or could not connect. Returns
  //! true if this ejects the upstream for a while. aMayEject: whether its
  //! service may have one more ejected upstream.
  bool Failed(TimePoint aNow, bool aMayEject);
  //! Whether the upstream is ejected: requests go there only if no upstream of
  //! its service is not ejected.
  bool IsEjected(TimePoint aNow) const { return aNow < m_ejectedUntil; }
  //! Weighted ratio of failures among the recent answers, from 0 to 1. It
  //! decays over time; otherwise an upstream that gets no requests because of
  //! its failures would never get one again.
  double FailureRatio(TimePoint aNow) const;

private:
  void UpdateRatio(double aFailure, TimePoint aNow);

  double m_failureRatio = 0;
  TimePoint m_updatedAt{};
  int m_consecutiveFailures = 0;
  Duration m_ejection{};
  TimePoint m_ejectedUntil{};
};

}
