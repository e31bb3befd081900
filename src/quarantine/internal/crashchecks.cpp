#include "quarantine/crashchecks.h"

#include "quarantine/quarantineconstants.h"

#include <algorithm>
#include <utility>

namespace hemlockgauge::quarantine {

void
CrashChecks::AddRun(UpstreamId aUpstream, UncheckedRun aRun, TimePoint aNow)
{
  const auto [entry, isNew] = m_checks.try_emplace(aUpstream);
  auto& check = entry->second;
  if (isNew) {
    check.firstEndAt = aNow;
  }
  check.runs.push_back(std::move(aRun));
}

std::vector<UpstreamId>
CrashChecks::StartDueChecks(TimePoint aNow)
{
  std::vector<UpstreamId> due;
  for (auto& [upstream, check] : m_checks) {
    if (!check.isStarted && aNow - check.firstEndAt >= kCrashCheckDelay) {
      check.isStarted = true;
      due.push_back(upstream);
    }
  }
  return due;
}

std::vector<UncheckedRun>
CrashChecks::EndCheck(UpstreamId aUpstream)
{
  const auto found = m_checks.find(aUpstream);
  if (found == m_checks.end()) {
    return {};
  }
  auto runs = std::move(found->second.runs);
  m_checks.erase(found);
  return runs;
}

std::size_t
CrashChecks::PendingChecks(const Trait& aTrait) const
{
  return static_cast<std::size_t>(
    std::count_if(m_checks.begin(), m_checks.end(), [&](const auto& aEntry) {
      const auto& runs = aEntry.second.runs;
      return std::any_of(
        runs.begin(), runs.end(), [&](const UncheckedRun& aRun) {
          return aRun.Has(aTrait);
        });
    }));
}

}
