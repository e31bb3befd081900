#include "fleet/upstreamlist.h"

#include "fleet/fleetconstants.h"

#include <set>

namespace hemlockgauge::fleet {

namespace {

EntryNotice
Notice(const UpstreamEntry& aEntry, EntryChange aChange)
{
  return { aEntry.id, aChange, UpstreamIdOf(aEntry) };
}

EntryChange
ChangeOfNew(const UpstreamEntry& aEntry)
{
  if (!aEntry.usable) {
    return EntryChange::Unusable;
  }
  return aEntry.draining ? EntryChange::Draining : EntryChange::Listed;
}

}

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
  const auto found = m_entries.find(aEntry.id);
  return found == m_entries.end() ? Add(aEntry) : Update(found->second, aEntry);
}

std::vector<EntryNotice>
UpstreamList::Add(const UpstreamEntry& aEntry)
{
  m_entries[aEntry.id] = aEntry;
  return { Notice(aEntry, ChangeOfNew(aEntry)) };
}

//! An upstream that once told its start always does, so an entry without it
//! comes from another writer.
std::vector<EntryNotice>
UpstreamList::Update(UpstreamEntry& aKnown, const UpstreamEntry& aEntry)
{
  const auto before = aKnown;
  if (aEntry.usable && aEntry.startedAt &&
      before.startedAt > aEntry.startedAt) {
    return { Notice(aEntry, EntryChange::Outdated) };
  }
  m_lapsed.erase(aEntry.id);
  if (!aEntry.usable || (before.startedAt && !aEntry.startedAt)) {
    aKnown.usable = false;
    return before.usable ? std::vector{ Notice(before, EntryChange::Unusable) }
                         : std::vector<EntryNotice>{};
  }
  aKnown = aEntry;
  if (before.usable && before.startedAt != aEntry.startedAt) {
    return { Notice(before, EntryChange::Restarted),
             Notice(aEntry, ChangeOfNew(aEntry)) };
  }
  if (!before.usable) {
    return { Notice(aEntry, ChangeOfNew(aEntry)) };
  }
  return aEntry.draining && !before.draining
           ? std::vector{ Notice(aEntry, EntryChange::Draining) }
           : std::vector<EntryNotice>{};
}

std::vector<EntryNotice>
UpstreamList::Remove(const std::string& aId, TimePoint aNow)
{
  const auto found = m_entries.find(aId);
  if (found == m_entries.end()) {
    return {};
  }
  const auto entry = found->second;
  const bool mayComeBack =
    MayHaveLapsed(aNow) && entry.usable && !entry.draining;
  if (mayComeBack) {
    const bool isNew = m_lapsed.emplace(aId, m_graceUntil).second;
    return isNew ? std::vector{ Notice(entry, EntryChange::Lapsed) }
                 : std::vector<EntryNotice>{};
  }
  m_entries.erase(found);
  m_lapsed.erase(aId);
  return { Notice(entry, EntryChange::Gone) };
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
    const auto entry = m_entries.extract(it->first);
    notices.push_back(Notice(entry.mapped(), EntryChange::Gone));
    it = m_lapsed.erase(it);
  }
  return notices;
}

bool
UpstreamList::MayGetWork(const std::string& aId) const
{
  const auto found = m_entries.find(aId);
  return found != m_entries.end() && found->second.usable &&
         !found->second.draining;
}

}
