#include "fleet/storechangelog.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! Least number of logged changes: some minutes at the usual rate of changes.
//! With more upstreams the log holds as many changes as there are upstreams:
//! for a requester that missed more, the whole list is no longer than the
//! changes.
constexpr std::size_t kMinLoggedChanges = 1024;

}

StoreChangeLog::StoreChangeLog(std::uint64_t aIncarnation,
                               const UpstreamList& aUpstreams)
  : m_incarnation(aIncarnation)
  , m_upstreams(aUpstreams)
{
}

void
StoreChangeLog::SetConfig(std::uint64_t aVersion, const std::string& aBytes)
{
  if (aVersion > m_configVersion) {
    m_configVersion = aVersion;
    m_config = aBytes;
  }
}

void
StoreChangeLog::LogChange(const std::string& aId)
{
  m_changes.push_back({ ++m_sequence, aId });
  const auto limit = std::max(kMinLoggedChanges, m_upstreams.Entries().size());
  while (m_changes.size() > limit) {
    m_changes.pop_front();
  }
}

void
StoreChangeLog::LogUpstreams(const std::vector<EntryUpdate>& aUpdates)
{
  for (const auto& update : aUpdates) {
    LogChange(update.Id());
  }
  m_hasUpstreams = true;
}

void
StoreChangeLog::SetEvacuations(const std::vector<Evacuation>& aAll)
{
  if (m_evacuations != aAll) {
    m_evacuations = aAll;
    LogChange("");
  }
}

bool
StoreChangeLog::CoversSince(const StoreUpdateRequest& aAsk) const
{
  const auto oldest =
    m_changes.empty() ? m_sequence + 1 : m_changes.front().sequence;
  return aAsk.incarnation == m_incarnation && aAsk.sequence <= m_sequence &&
         aAsk.sequence + 1 >= oldest;
}

bool
StoreChangeLog::NeedsFullList(const StoreUpdateRequest& aAsk) const
{
  const bool sameList = aAsk.digest != 0 && aAsk.digest == Digest();
  return !CoversSince(aAsk) && !sameList;
}

std::uint64_t
StoreChangeLog::Digest() const
{
  return m_hasUpstreams ? m_upstreams.Digest() : 0;
}

bool
StoreChangeLog::HasUpdateFor(const StoreUpdateRequest& aAsk) const
{
  return !CoversSince(aAsk) || aAsk.sequence < m_sequence ||
         aAsk.configVersion < m_configVersion;
}

std::vector<UpstreamEntry>
StoreChangeLog::AllEntries() const
{
  std::vector<UpstreamEntry> all;
  all.reserve(m_upstreams.Entries().size());
  for (const auto& [id, entry] : m_upstreams.Entries()) {
    all.push_back(*entry);
  }
  return all;
}

StoreUpdate
StoreChangeLog::FullList() const
{
  StoreUpdate news;
  news.state = StoreUpdateState::Unproven;
  news.incarnation = m_incarnation;
  news.sequence = m_sequence;
  news.isFullList = true;
  news.upstreams = AllEntries();
  return news;
}

std::vector<std::string>
StoreChangeLog::ChangedSince(std::uint64_t aSequence) const
{
  std::vector<std::string> changed;
  const auto first = m_changes.empty() ? 0 : m_changes.front().sequence;
  const auto skipped = aSequence >= first ? aSequence - first + 1 : 0;
  for (std::size_t i = skipped; i < m_changes.size(); ++i) {
    if (!m_changes[i].id.empty()) {
      changed.push_back(m_changes[i].id);
    }
  }
  std::sort(changed.begin(), changed.end());
  changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
  return changed;
}

StoreUpdate
StoreChangeLog::Answer(const StoreUpdateRequest& aAsk, Duration aProofAge) const
{
  StoreUpdate news;
  news.incarnation = m_incarnation;
  news.sequence = m_sequence;
  news.proofAge = aProofAge;
  if (aAsk.configVersion < m_configVersion) {
    news.config = m_config;
  }
  news.evacuations = m_evacuations;
  news.isFullList = NeedsFullList(aAsk);
  if (news.isFullList) {
    news.upstreams = AllEntries();
  }
  if (!CoversSince(aAsk)) {
    return news;
  }
  const auto& entries = m_upstreams.Entries();
  for (const auto& id : ChangedSince(aAsk.sequence)) {
    const auto found = entries.find(id);
    if (found == entries.end()) {
      news.removed.push_back(id);
    } else {
      news.upstreams.push_back(*found->second);
    }
  }
  return news;
}

}
