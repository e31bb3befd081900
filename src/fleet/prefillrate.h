#pragma once

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

//! Learns the prefill rate of an upstream from the latency of first tokens and
//! the number of tokens prefilled before them. The platform does not publish
//! it, it differs between upstreams, and some upstreams slow down.
class PrefillRate
{
public:
  double TokensPerMs() const { return m_tokensPerMs; }

  //! Adds a sample. aTokens: tokens prefilled up to a request's first token,
  //! its own and those of other requests; aMillis: latency of that first token;
  //! aFixedMs: part of it that does not depend on the tokens.
  void Learn(double aTokens,
             double aMillis,
             double aFixedMs = kFirstTokenOverheadMs)
  {
    if (aTokens < kMinPrefillSampleTokens) {
      return;
    }
    const double prefillMs = std::max(aMillis - aFixedMs, 1.0);
    const double sample =
      std::clamp(aTokens / prefillMs, kMinPrefillRate, kMaxPrefillRate);
    m_tokensPerMs = 1.0 / ((1.0 - kPrefillRateGain) / m_tokensPerMs +
                           kPrefillRateGain / sample);
  }

private:
  double m_tokensPerMs = kInitialPrefillRate;
};

}
