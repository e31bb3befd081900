#include "standins/faults.h"

#include <cstdlib>

namespace hemlockgauge::standins {

void
Faults::Inject(FaultKind aKind, int aCount)
{
  const std::lock_guard lock(m_mutex);
  m_remaining[aKind] = aCount;
}

bool
Faults::Take(FaultKind aKind)
{
  const std::lock_guard lock(m_mutex);
  auto& remaining = m_remaining[aKind];
  if (remaining <= 0) {
    return false;
  }
  remaining--;
  return true;
}

bool
InjectFault(Faults& aFaults, const std::map<std::string, std::string>& aQuery)
{
  const auto kind = aQuery.find("kind");
  const auto count = aQuery.find("count");
  if (kind == aQuery.end()) {
    return false;
  }
  const auto known = kFaultKindNames.ValueOf(kind->second);
  if (!known) {
    return false;
  }
  if (*known == FaultKind::Die) {
    std::_Exit(1);
  }
  aFaults.Inject(*known,
                 count == aQuery.end() ? 1 : std::atoi(count->second.c_str()));
  return true;
}

}
