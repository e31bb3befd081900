#include "fleet/versionhistory.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

void
VersionHistory::Count(const UpstreamEntryPtr& aEntry, bool aIsListed)
{
  if (!aEntry || !aEntry->usable) {
    return;
  }
  auto& listed = m_services[aEntry->service].listed;
  const auto version = VersionIdOf(*aEntry);
  if (aIsListed) {
    listed[version]++;
  } else if (--listed[version] == 0) {
    listed.erase(version);
  }
}

//! A service without upstreams keeps its only version until another one is
//! listed.
void
VersionHistory::Follow(ServiceVersions& aVersions, TimePoint aNow)
{
  for (const auto& [version, count] : aVersions.listed) {
    if (version != aVersions.only) {
      aVersions.only = version;
      aVersions.onlySince = aNow;
    }
  }
  if (aVersions.listed.size() > 1) {
    aVersions.only = VersionId::Unknown;
  }
}

void
VersionHistory::Apply(const std::vector<EntryUpdate>& aUpdates, TimePoint aNow)
{
  for (const auto& [before, after] : aUpdates) {
    Count(before, false);
    Count(after, true);
  }
  for (auto& [service, versions] : m_services) {
    Follow(versions, aNow);
  }
}

void
VersionHistory::RecordProof(TimePoint aAt)
{
  if (!m_provenSince || aAt - m_provenAt > kMaxListProofGap) {
    m_provenSince = aAt;
  }
  m_provenAt = std::max(m_provenAt, aAt);
}

std::optional<VersionId>
VersionHistory::OnlyVersion(std::string_view aService,
                            Duration aWindow,
                            TimePoint aNow) const
{
  const auto found = m_services.find(aService);
  if (found == m_services.end() || !m_provenSince ||
      aNow - m_provenAt > kMaxListProofGap) {
    return std::nullopt;
  }
  const auto& versions = found->second;
  const auto since = std::max(versions.onlySince, *m_provenSince);
  const bool isCertain =
    versions.only != VersionId::Unknown && aNow - since >= aWindow;
  return isCertain ? std::optional(versions.only) : std::nullopt;
}

}
