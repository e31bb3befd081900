#pragma once

#include "fleet/fleettypes.h"

#include <algorithm>

namespace hemlockgauge::fleet {

//! Estimates how many tokens of an engine's KV cache requests use, from the
//! requests that this router started lately. Routers report to each other only
//! the tokens that need prefill; all other tokens that enter the engines' KV
//! caches are assumed to be proportional to these.
class KvCacheUse
{
public:
  //! Records the start of a request. aPrefillTokens and aCopiedTokens: the
  //! prompt tokens missing at the engine, by whether it prefills or copies
  //! them.
  void RecordRequest(const Work& aWork,
                     double aPrefillTokens,
                     double aCopiedTokens)
  {
    const double output = aWork.outputTokens;
    UpdateMean(m_weight, 1.0);
    UpdateMean(m_prefilled, aPrefillTokens);
    UpdateMean(m_filled, aPrefillTokens + aCopiedTokens + output);
    UpdateMean(m_running, aWork.UnsharedTokens() + kMeanOutputRatio * output);
  }

  //! Tokens that enter the KV cache for each token that is prefilled.
  double FilledPerPrefillToken() const
  {
    return m_prefilled > 0
             ? std::clamp(m_filled / m_prefilled, 1.0, kMaxFilledPerPrefill)
             : 1.0;
  }
  //! Mean number of unshared tokens of a running request.
  double MeanRunningTokens() const
  {
    return m_weight > 0 ? m_running / m_weight : 0.0;
  }

private:
  //! Smoothing factor: averages over about the last hundred requests.
  static constexpr double kSmoothing = 0.01;
  //! A running request has generated half of its output on average.
  static constexpr double kMeanOutputRatio = 0.5;
  //! Bounds the ratio where nearly all prompts are copied: the few prefilled
  //! tokens are then no usable denominator.
  static constexpr double kMaxFilledPerPrefill = 4.0;

  static void UpdateMean(double& aMean, double aSample)
  {
    aMean += kSmoothing * (aSample - aMean);
  }

  double m_weight = 0;    //!< sum of the weights of all samples; tends to 1
  double m_prefilled = 0; //!< mean tokens prefilled per request
  double m_filled = 0;    //!< mean tokens that enter the KV cache per request
  double m_running = 0;   //!< mean unshared tokens of a running request
};

}
