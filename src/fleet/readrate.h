#pragma once

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

//! How fast an upstream reads prompts, learned from how long first tokens
//! took against what had to be read before them. No page of the platform
//! says it, upstreams differ, and some slow down.
class ReadRate
{
public:
  double TokensPerMs() const { return m_rate; }

  //! aTokens: own and foreign prompt tokens that were read meanwhile.
  void Learn(double aTokens, double aMillis)
  {
    if (aTokens < kReadSampleLeast) {
      return;
    }
    const double reading = std::max(aMillis - kFirstTokenFixedMs, 1.0);
    const double sample =
      std::clamp(aTokens / reading, kReadRateLeast, kReadRateMost);
    m_rate = 1.0 / ((1.0 - kReadRateGain) / m_rate + kReadRateGain / sample);
  }

private:
  double m_rate = kReadRatePrior;
};

}
