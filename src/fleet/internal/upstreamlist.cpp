#include "fleet/upstreamlist.h"

#include "fleet/fleetconstants.h"

#include <set>

namespace hemlockgauge::fleet {

void
UpstreamList::StoreLost(TimePoint aNow)
{
  if (!m_lostAt) {
    m_lostAt = aNow;
  }
}

void
UpstreamList::StoreReached(TimePoint aAt)
{
  if (!m_lostAt || aAt < *m_lostAt) {
    return;
  }
  if (aAt - *m_lostAt >= m_lapseAfter) {
    m_lapsesUntil = aAt + kLapseNoticed;
    m_graceUntil = aAt + kLapseGrace;
  }
  m_lostAt.reset();
}

std::vector<EntryNotice>
UpstreamList::Put(const UpstreamEntry& aEntry)
{
  m_lapsed.erase(aEntry.id);
  const auto found = m_entries.find(aEntry.id);
  const bool isNew = found == m_entries.end();
  const bool drains = aEntry.draining && (isNew || !found->second.draining);
  m_entries[aEntry.id] = aEntry;
  if (drains) {
    return { { aEntry.id, EntryChange::Draining } };
  }
  if (isNew) {
    return { { aEntry.id, EntryChange::Listed } };
  }
  return {};
}

std::vector<EntryNotice>
UpstreamList::Remove(const std::string& aId, TimePoint aNow)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return {};
  }
  const bool mayComeBack = MayHaveLapsed(aNow) && !found->second.draining;
  if (mayComeBack) {
    const bool isNew = m_lapsed.emplace(aId, m_graceUntil).second;
    return isNew ? std::vector<EntryNotice>{ { aId, EntryChange::Lapsed } }
                 : std::vector<EntryNotice>{};
  }
  m_entries.erase(found);
  m_lapsed.erase(aId);
  return { { aId, EntryChange::Gone } };
}

std::vector<EntryNotice>
UpstreamList::Replace(const std::vector<UpstreamEntry>& aEntries,
                      TimePoint aNow)
{
  m_known = true;
  std::vector<EntryNotice> notices;
  const auto add = [&](const std::vector<EntryNotice>& aMore) {
    notices.insert(notices.end(), aMore.begin(), aMore.end());
  };
  std::set<std::string> listed;
  for (const auto& entry : aEntries) {
    listed.insert(entry.id);
    add(Put(entry));
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : m_entries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    add(Remove(id, aNow));
  }
  return notices;
}

std::vector<EntryNotice>
UpstreamList::Tick(TimePoint aNow)
{
  std::vector<EntryNotice> notices;
  for (auto it = m_lapsed.begin(); it != m_lapsed.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    m_entries.erase(it->first);
    notices.push_back({ it->first, EntryChange::Gone });
    it = m_lapsed.erase(it);
  }
  return notices;
}

bool
UpstreamList::MayGetWork(const std::string& aId) const
{
  const auto found = m_entries.find(aId);
  return found != m_entries.end() && !found->second.draining;
}

}
