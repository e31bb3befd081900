#include "fleet/upstreamhealth.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

void
UpstreamHealth::Count(double aFailure)
{
  m_failurePart += kFailureGain * (aFailure - m_failurePart);
}

void
UpstreamHealth::Succeeded()
{
  Count(0.0);
  m_inRow = 0;
  m_ejection = Duration{};
}

void
UpstreamHealth::AnsweredFailure()
{
  Count(1.0);
}

bool
UpstreamHealth::Failed(TimePoint aNow, bool aMayEject)
{
  Count(1.0);
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
