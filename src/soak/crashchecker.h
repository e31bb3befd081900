#pragma once

#include "base/basetypes.h"
#include "soak/crashingcaller.h"
#include "soak/guarantees.h"

#include <cstddef>
#include <map>
#include <vector>

namespace hemlockgauge::soak {

//! Checks that requests that crash upstreams are soon quarantined.
class CrashChecker
{
public:
  explicit CrashChecker(GuaranteeChecker& aGuarantees)
    : m_guarantees(aGuarantees)
  {
  }

  //! A request that crashes its upstream ran.
  void RecordRun(CrashCause aCause, base::TimePoint aNow);
  std::size_t RunCount(CrashCause aCause) const;

private:
  GuaranteeChecker& m_guarantees;
  std::map<CrashCause, std::vector<base::TimePoint>> m_runs;
};

}
