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
    m_millis += kForecastGain * (aActualMs - aPredictedMs - m_millis);
  }

  //! Ratio of the engines' learned prefill speed up to which requests may be
  //! admitted: it falls linearly as the error grows.
  double ReadingUse() const
  {
    const double position = (m_millis - kForecastErrorSmall) /
                            (kForecastErrorLarge - kForecastErrorSmall);
    return std::lerp(
      kReadingUseMost, kReadingUseLeast, std::clamp(position, 0.0, 1.0));
  }

private:
  double m_millis = 0;
};

}
