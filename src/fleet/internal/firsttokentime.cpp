#include "fleet/firsttokentime.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

FirstTokenTime::FirstTokenTime()
  : m_fixedMs(kFirstTokenOverheadMs)
  , m_tokensPerMs(kInitialPrefillRate)
{
}

void
FirstTokenTime::Learn(double aTokens, double aMillis)
{
  const double limit = kFirstTokenOutlierRatio * PredictMs(aTokens);
  constexpr double kDecay = 1.0 - 1.0 / kFirstTokenMemory;
  m_weight *= kDecay;
  m_tokens *= kDecay;
  m_millis *= kDecay;
  m_squaredTokens *= kDecay;
  m_tokensByMillis *= kDecay;
  Add(aTokens, std::min(aMillis, limit), 1.0);
  Fit();
  UpdateLeast(aMillis);
}

bool
FirstTokenTime::HasNotableFixedTime() const
{
  return std::min(m_leastMs, m_previousLeastMs) >= kNotableFixedFirstTokenMs;
}

void
FirstTokenTime::UpdateLeast(double aMillis)
{
  m_leastMs = std::min(m_leastMs, aMillis);
  if (++m_inWindow >= kLeastFirstTokenWindow) {
    m_previousLeastMs = m_leastMs;
    m_leastMs = std::numeric_limits<double>::infinity();
    m_inWindow = 0;
  }
}

void
FirstTokenTime::Add(double aTokens, double aMillis, double aWeight)
{
  m_weight += aWeight;
  m_tokens += aWeight * aTokens;
  m_millis += aWeight * aMillis;
  m_squaredTokens += aWeight * aTokens * aTokens;
  m_tokensByMillis += aWeight * aTokens * aMillis;
}

void
FirstTokenTime::Fit()
{
  auto sums = *this;
  const double assumedMs =
    kFirstTokenOverheadMs + kAssumedPromptTokens / kInitialPrefillRate;
  sums.Add(0, kFirstTokenOverheadMs, kAssumedFirstTokens);
  sums.Add(kAssumedPromptTokens, assumedMs, kAssumedFirstTokens);
  const double spread =
    sums.m_weight * sums.m_squaredTokens - sums.m_tokens * sums.m_tokens;
  const double msPerToken =
    (sums.m_weight * sums.m_tokensByMillis - sums.m_tokens * sums.m_millis) /
    spread;
  m_tokensPerMs =
    1.0 / std::clamp(msPerToken, 1.0 / kMaxPrefillRate, 1.0 / kMinPrefillRate);
  m_fixedMs =
    std::clamp((sums.m_millis - sums.m_tokens / m_tokensPerMs) / sums.m_weight,
               kMinFixedFirstTokenMs,
               kMaxFixedFirstTokenMs);
}

void
EngineSlowness::Learn(double aPredictedMs, double aMillis)
{
  const double sample =
    std::clamp(aMillis / aPredictedMs, kMinEngineSlowness, kMaxEngineSlowness);
  m_samples++;
  const double gain =
    std::max(kEngineSlownessGain, 1.0 / (m_samples + kEngineSlownessPrior));
  m_factor += gain * (sample - m_factor);
}

}
