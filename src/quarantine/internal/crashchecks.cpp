#include "quarantine/crashchecks.h"

#include "quarantine/quarantineconstants.h"

#include <algorithm>

namespace hemlockgauge::quarantine {

void
CrashChecks::RecordBrokenConnection(UpstreamId aUpstream,
                                    RequestFingerprint aRequest,
                                    TimePoint aNow)
{
  const auto [entry, isNew] = m_checks.try_emplace(aUpstream);
  auto& check = entry->second;
  if (isNew) {
    check.firstBreakAt = aNow;
  }
  check.requests.push_back(aRequest);
}

std::vector<UpstreamId>
CrashChecks::StartDueChecks(TimePoint aNow)
{
  std::vector<UpstreamId> due;
  for (auto& [upstream, check] : m_checks) {
    if (!check.isStarted && aNow - check.firstBreakAt >= kCrashCheckDelay) {
      check.isStarted = true;
      due.push_back(upstream);
    }
  }
  return due;
}

std::vector<RequestFingerprint>
CrashChecks::EndCheck(UpstreamId aUpstream)
{
  const auto found = m_checks.find(aUpstream);
  if (found == m_checks.end()) {
    return {};
  }
  auto requests = std::move(found->second.requests);
  m_checks.erase(found);
  return requests;
}

std::size_t
CrashChecks::PendingChecks(RequestFingerprint aRequest) const
{
  return static_cast<std::size_t>(
    std::count_if(m_checks.begin(), m_checks.end(), [&](const auto& aEntry) {
      const auto& requests = aEntry.second.requests;
      return std::find(requests.begin(), requests.end(), aRequest) !=
             requests.end();
    }));
}

}
