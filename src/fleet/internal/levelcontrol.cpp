#include "fleet/levelcontrol.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

LevelControl::LevelControl()
  : m_level(std::numeric_limits<double>::infinity())
{
}

void
LevelControl::Update(double aBacklogMs,
                     double aOwed,
                     const WorkspaceRates& aFleet)
{
  m_asked.clear();
  double most = 0;
  for (const auto& [workspace, rate] : aFleet) {
    m_asked[workspace] = rate.asked;
    most = std::max(most, rate.asked);
  }
  std::erase_if(m_credit, [&](const auto& aEntry) {
    return !m_asked.contains(aEntry.first);
  });
  //! NOTE the level waits just above the largest demand, so that it bites
  //! at once when the backlog grows.
  const double ceiling = std::max(most * kLevelHeadroom, aOwed);
  const double error = 1.0 - aBacklogMs / kBacklogMs;
  const double factor =
    std::clamp(1.0 + kLevelGain * error, kLevelLeastFactor, kLevelMostFactor);
  m_level = std::clamp(std::min(m_level, ceiling) * factor, aOwed, ceiling);
}

double
LevelControl::PartOf(WorkspaceId aWorkspace) const
{
  const auto found = m_asked.find(aWorkspace);
  if (found == m_asked.end() || found->second <= m_level) {
    return 1.0;
  }
  return m_level / found->second;
}

bool
LevelControl::Pass(WorkspaceId aWorkspace)
{
  const double part = PartOf(aWorkspace);
  if (part >= 1.0) {
    return true;
  }
  auto& credit = m_credit[aWorkspace];
  credit += part;
  if (credit < 1.0) {
    return false;
  }
  credit -= 1.0;
  return true;
}

}
