#include "fleet/workspacethrottle.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

namespace {

//! Bounds of the correction by the admitted rate, which is averaged over two
//! seconds and so lags behind.
constexpr double kMinCorrection = 0.3;
constexpr double kMaxCorrection = 4.0;

}

WorkspaceThrottle::WorkspaceThrottle()
  : m_level(std::numeric_limits<double>::infinity())
{
}

//! A request that passes the limit may still be refused because its wait is too
//! long. So the ratio is corrected by the rate that was actually admitted, in
//! the same way for all workspaces whose demand exceeds the limit.
double
WorkspaceThrottle::AdmittedRatioOf(const WorkspaceRate& aRate) const
{
  if (aRate.demand <= m_level) {
    return 1.0;
  }
  const double correction = std::clamp(
    m_level / std::max(aRate.admitted, 1.0), kMinCorrection, kMaxCorrection);
  return std::min(1.0, correction * m_level / aRate.demand);
}

void
WorkspaceThrottle::Update(const WorkspaceRates& aRates, double aCapacity)
{
  m_level = MaxMinShare(aRates, aCapacity);
  std::erase_if(m_accounts, [&](const auto& aEntry) {
    return !aRates.contains(aEntry.first);
  });
  for (const auto& [workspace, rate] : aRates) {
    m_accounts[workspace].admittedRatio = AdmittedRatioOf(rate);
  }
}

bool
WorkspaceThrottle::TryAdmit(WorkspaceId aWorkspace)
{
  const auto found = m_accounts.find(aWorkspace);
  if (found == m_accounts.end() || found->second.admittedRatio >= 1.0) {
    return true;
  }
  auto& credit = found->second.credit;
  credit += found->second.admittedRatio;
  if (credit < 1.0) {
    return false;
  }
  credit -= 1.0;
  return true;
}

}
