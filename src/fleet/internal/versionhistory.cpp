#include "fleet/versionhistory.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

void
VersionHistory::Add(const UpstreamEntryPtr& aEntry, TimePoint aNow)
{
  if (!aEntry || !aEntry->usable) {
    return;
  }
  auto& listed = m_services[aEntry->service].listed;
  const auto [it, isNew] =
    listed.try_emplace(VersionIdOf(*aEntry), ListedVersion{ 0, aNow });
  it->second.upstreams++;
}

void
VersionHistory::Remove(const UpstreamEntryPtr& aEntry)
{
  if (!aEntry || !aEntry->usable) {
    return;
  }
  auto& listed = m_services[aEntry->service].listed;
  const auto found = listed.find(VersionIdOf(*aEntry));
  if (--found->second.upstreams == 0) {
    listed.erase(found);
  }
}

//! A service without upstreams keeps its only version until another one is
//! listed.
void
VersionHistory::Follow(ServiceVersions& aVersions, TimePoint aNow)
{
  for (const auto& [version, listed] : aVersions.listed) {
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
    Add(after, aNow); // first, so that a version keeps its time
    Remove(before);
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

bool
VersionHistory::IsNew(std::string_view aService,
                      VersionId aVersion,
                      TimePoint aNow) const
{
  const auto found = m_services.find(aService);
  if (found == m_services.end() || found->second.listed.size() < 2) {
    return false;
  }
  const auto& listed = found->second.listed;
  const auto version = listed.find(aVersion);
  return version != listed.end() &&
         aNow - version->second.since < kMaxListProofGap;
}

}
