#pragma once

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::fleet {

//! How much later than foreseen first tokens came lately. Where what is known
//! of the engines is old and many send at once, forecasts are too short.
class ForecastError
{
public:
  double Millis() const { return m_millis; }
  void Learn(double aForeseenMs, double aTookMs)
  {
    m_millis += kForecastGain * (aTookMs - aForeseenMs - m_millis);
  }

  //! Part of what all engines can read that may begin: the less the forecasts
  //! are worth, the less.
  double ReadingUse() const
  {
    const double part = (m_millis - kForecastErrorSmall) /
                        (kForecastErrorLarge - kForecastErrorSmall);
    return std::lerp(
      kReadingUseMost, kReadingUseLeast, std::clamp(part, 0.0, 1.0));
  }

private:
  double m_millis = 0;
};

}
