#include "fleet/passlevel.h"

#include <algorithm>
#include <limits>

namespace hemlockgauge::fleet {

namespace {

//! Bounds of the correction: the rates that it looks at are two seconds old.
constexpr double kLeastCorrection = 0.3;
constexpr double kMostCorrection = 4.0;

}

PassLevel::PassLevel()
  : m_level(std::numeric_limits<double>::infinity())
{
}

//! What passes need not begin: it may still wait too long. So the part follows
//! what began, for those alike that ask more than the level.
double
PassLevel::PartOf(const WorkspaceRate& aRate) const
{
  if (aRate.asked <= m_level) {
    return 1.0;
  }
  const double correction = std::clamp(
    m_level / std::max(aRate.begun, 1.0), kLeastCorrection, kMostCorrection);
  return std::min(1.0, correction * m_level / aRate.asked);
}

void
PassLevel::Update(const WorkspaceRates& aRates, double aCapacity)
{
  m_level = MaxMinLevel(aRates, aCapacity);
  std::erase_if(m_accounts, [&](const auto& aEntry) {
    return !aRates.contains(aEntry.first);
  });
  for (const auto& [workspace, rate] : aRates) {
    m_accounts[workspace].part = PartOf(rate);
  }
}

bool
PassLevel::Pass(WorkspaceId aWorkspace)
{
  const auto found = m_accounts.find(aWorkspace);
  if (found == m_accounts.end() || found->second.part >= 1.0) {
    return true;
  }
  auto& credit = found->second.credit;
  credit += found->second.part;
  if (credit < 1.0) {
    return false;
  }
  credit -= 1.0;
  return true;
}

}
