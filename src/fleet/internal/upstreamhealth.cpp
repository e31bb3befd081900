#include "fleet/upstreamhealth.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::fleet {

double
UpstreamHealth::FailureRatio(TimePoint aNow) const
{
  const auto elapsed = static_cast<double>((aNow - m_updatedAt).count());
  const auto halfLife = static_cast<double>(kFailureHalfLife.count());
  return m_failureRatio * std::exp2(-elapsed / halfLife);
}

void
UpstreamHealth::UpdateRatio(double aFailure, TimePoint aNow)
{
  const double before = FailureRatio(aNow);
  m_failureRatio = before + kFailureRatioGain * (aFailure - before);
  m_updatedAt = aNow;
}

void
UpstreamHealth::Succeeded(TimePoint aNow)
{
  UpdateRatio(0.0, aNow);
  m_consecutiveFailures = 0;
  m_ejection = Duration{};
}

void
UpstreamHealth::AnsweredFailure(TimePoint aNow)
{
  UpdateRatio(1.0, aNow);
}

bool
UpstreamHealth::Failed(TimePoint aNow, bool aMayEject)
{
  UpdateRatio(1.0, aNow);
  m_consecutiveFailures++;
  //! NOTE after an ejection, a single failure before the next success ejects
  //! the upstream again, for twice as long.
  const bool wasEjected = m_ejection > Duration{};
  if (!aMayEject || (m_consecutiveFailures < kFailuresToEject && !wasEjected) ||
      IsEjected(aNow)) {
    return false;
  }
  m_ejection =
    wasEjected ? std::min(m_ejection * 2, kMaxEjectionTime) : kMinEjectionTime;
  m_ejectedUntil = aNow + m_ejection;
  return true;
}

}
