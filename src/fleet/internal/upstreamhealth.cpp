#include "fleet/upstreamhealth.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>

namespace hemlockgauge::fleet {

double
UpstreamHealth::FailurePart(TimePoint aNow) const
{
  const auto past = static_cast<double>((aNow - m_countedAt).count());
  const auto half = static_cast<double>(kFailureHalfLife.count());
  return m_failurePart * std::exp2(-past / half);
}

void
UpstreamHealth::Count(double aFailure, TimePoint aNow)
{
  const double before = FailurePart(aNow);
  m_failurePart = before + kFailureGain * (aFailure - before);
  m_countedAt = aNow;
}

void
UpstreamHealth::Succeeded(TimePoint aNow)
{
  Count(0.0, aNow);
  m_inRow = 0;
  m_ejection = Duration{};
}

void
UpstreamHealth::AnsweredFailure(TimePoint aNow)
{
  Count(1.0, aNow);
}

bool
UpstreamHealth::Failed(TimePoint aNow, bool aMayEject)
{
  Count(1.0, aNow);
  m_inRow++;
  //! NOTE after an ejection one more failure ejects again.
  const bool again = m_ejection > Duration{};
  if (!aMayEject || (m_inRow < kFailuresToEject && !again) || IsEjected(aNow)) {
    return false;
  }
  m_ejection = again ? std::min(m_ejection * 2, kEjectionMost) : kEjectionFirst;
  m_ejectedUntil = aNow + m_ejection;
  return true;
}

}
