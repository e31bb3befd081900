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
  auto& versions = m_services[aEntry->service].versions;
  const auto [it, isNew] =
    versions.try_emplace(VersionIdOf(*aEntry), ListedVersion{ 0, aNow });
  it->second.upstreams++;
}

void
VersionHistory::Remove(const UpstreamEntryPtr& aEntry, TimePoint aNow)
{
  if (!aEntry || !aEntry->usable) {
    return;
  }
  auto& version = m_services[aEntry->service].versions.at(VersionIdOf(*aEntry));
  if (--version.upstreams == 0) {
    version.unlistedAt = aNow;
  }
}

//! A service without upstreams keeps its only version until another one is
//! listed.
void
VersionHistory::Follow(ServiceVersions& aVersions, TimePoint aNow)
{
  std::erase_if(aVersions.versions, [&](const auto& aOne) {
    const auto& version = aOne.second;
    return version.upstreams == 0 &&
           aNow - version.unlistedAt > kOnlyVersionMargin;
  });
  std::size_t listed = 0;
  for (const auto& [id, version] : aVersions.versions) {
    if (version.upstreams == 0) {
      continue;
    }
    listed++;
    if (id != aVersions.only) {
      aVersions.only = id;
      aVersions.onlySince = aNow;
    }
  }
  if (listed > 1) {
    aVersions.only = VersionId::Unknown;
  }
}

void
VersionHistory::Apply(const std::vector<EntryUpdate>& aUpdates, TimePoint aNow)
{
  for (const auto& [before, after] : aUpdates) {
    Add(after, aNow); // first, so that a version keeps its time
    Remove(before, aNow);
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

Duration
VersionHistory::NewFor(std::string_view aService,
                       VersionId aVersion,
                       TimePoint aNow) const
{
  const auto service = m_services.find(aService);
  if (service == m_services.end()) {
    return {};
  }
  const auto& versions = service->second.versions;
  const auto found = versions.find(aVersion);
  if (found == versions.end()) {
    return {};
  }
  const auto since = found->second.since;
  const bool isFirst =
    std::none_of(versions.begin(), versions.end(), [&](const auto& aOther) {
      return aOther.second.since < since;
    });
  return isFirst ? Duration{}
                 : std::max(Duration{}, since + kMaxListProofGap - aNow);
}

}
