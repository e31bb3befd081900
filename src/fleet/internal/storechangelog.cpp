#include "fleet/storechangelog.h"

#include "base/hash.h"

#include <set>
#include <string>

namespace hemlockgauge::fleet {

namespace {

//! Maximum number of logged changes: some minutes at the usual rate of changes.
constexpr std::size_t kMaxChanges = 1024;

}

StoreChangeLog::StoreChangeLog(std::uint64_t aLife)
  : m_life(aLife)
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
  m_digest = 0;
  if (m_changes.size() > kMaxChanges) {
    m_changes.pop_front();
  }
}

void
StoreChangeLog::SetUpstreams(
  const std::map<std::string, UpstreamEntry>& aEntries)
{
  for (const auto& [id, entry] : aEntries) {
    const auto known = m_upstreams.find(id);
    if (known == m_upstreams.end() || !(known->second == entry)) {
      LogChange(id);
    }
  }
  for (const auto& [id, entry] : m_upstreams) {
    if (!aEntries.contains(id)) {
      LogChange(id);
    }
  }
  m_upstreams = aEntries;
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
  return aAsk.incarnation == m_life && aAsk.sequence <= m_sequence &&
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
  if (m_digest == 0 && m_hasUpstreams) {
    m_digest = 1;
    for (const auto& [id, entry] : m_upstreams) {
      m_digest = base::HashFields({ std::to_string(m_digest),
                                    id,
                                    std::to_string(entry.startedAt.value_or(0)),
                                    entry.service,
                                    entry.address.Text(),
                                    entry.zone,
                                    std::to_string(entry.slots),
                                    entry.usable ? "usable" : "",
                                    entry.draining ? "draining" : "",
                                    std::to_string(entry.coldFor.count()) });
    }
  }
  return m_digest;
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
  for (const auto& [id, entry] : m_upstreams) {
    all.push_back(entry);
  }
  return all;
}

StoreUpdate
StoreChangeLog::FullList() const
{
  StoreUpdate news;
  news.state = StoreUpdateState::Unproven;
  news.incarnation = m_life;
  news.sequence = m_sequence;
  news.isFullList = true;
  news.upstreams = AllEntries();
  return news;
}

StoreUpdate
StoreChangeLog::Answer(const StoreUpdateRequest& aAsk, Duration aProofAge) const
{
  StoreUpdate news;
  news.incarnation = m_life;
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
  std::set<std::string> changed;
  for (const auto& change : m_changes) {
    if (change.sequence > aAsk.sequence && !change.id.empty()) {
      changed.insert(change.id);
    }
  }
  for (const auto& id : changed) {
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end()) {
      news.removed.push_back(id);
    } else {
      news.upstreams.push_back(found->second);
    }
  }
  return news;
}

}
