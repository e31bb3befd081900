#pragma once

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

//! Learns the prefill rate of an upstream from the latency of first tokens and
//! the number of tokens prefilled before them. The platform does not publish
//! it, it differs between upstreams, and some upstreams slow down.
class ReadRate
{
public:
  double TokensPerMs() const { return m_tokensPerMs; }

  //! Adds a sample. aTokens: tokens prefilled up to a request's first token,
  //! its own and those of other requests; aMillis: latency of that first token.
  void Learn(double aTokens, double aMillis)
  {
    if (aTokens < kReadSampleLeast) {
      return;
    }
    const double prefillMs = std::max(aMillis - kFirstTokenFixedMs, 1.0);
    const double sample =
      std::clamp(aTokens / prefillMs, kReadRateLeast, kReadRateMost);
    m_tokensPerMs =
      1.0 / ((1.0 - kReadRateGain) / m_tokensPerMs + kReadRateGain / sample);
  }

private:
  double m_tokensPerMs = kReadRatePrior;
};

}
