#pragma once

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::fleet {

//! Moving average of how much later than predicted first tokens came.
//! Predictions are too short if the load reports are old and many routers send
//! at once.
class ForecastError
{
public:
  double Millis() const { return m_millis; }
  void Learn(double aPredictedMs, double aActualMs)
  {
    m_millis += kForecastErrorGain * (aActualMs - aPredictedMs - m_millis);
  }

  //! Ratio of the engines' learned prefill speed up to which requests may be
  //! admitted: it falls linearly as the error grows.
  double OvercommitRatio() const
  {
    const double position = (m_millis - kLowForecastErrorMs) /
                            (kHighForecastErrorMs - kLowForecastErrorMs);
    return std::lerp(
      kMaxOvercommitRatio, kMinOvercommitRatio, std::clamp(position, 0.0, 1.0));
  }

private:
  double m_millis = 0;
};

}
