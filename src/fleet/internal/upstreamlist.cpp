#include "fleet/upstreamlist.h"

#include "fleet/fleetconstants.h"

#include <set>

namespace hemlockgauge::fleet {

namespace {

EntryNotice
MakeNotice(const UpstreamEntry& aEntry, EntryChange aChange)
{
  return { aEntry.id, aChange, UpstreamIdOf(aEntry) };
}

EntryChange
ChangeOfAdded(const UpstreamEntry& aEntry)
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
  if (!m_storeLostAt) {
    m_storeLostAt = aNow;
  }
}

void
UpstreamList::StoreReached(TimePoint aAt)
{
  if (!m_storeLostAt || aAt < *m_storeLostAt) {
    return;
  }
  if (aAt - *m_storeLostAt >= m_entryTtl) {
    m_expiryWindowEnd = aAt + kExpiryDetectionWindow;
    m_gracePeriodEnd = aAt + kExpiryGracePeriod;
  }
  m_storeLostAt.reset();
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
  return { MakeNotice(aEntry, ChangeOfAdded(aEntry)) };
}

//! Upstreams that write their start time always write it. An entry without it
//! after one with it therefore comes from another writer and is unusable.
std::vector<EntryNotice>
UpstreamList::Update(UpstreamEntry& aKnown, const UpstreamEntry& aEntry)
{
  const auto before = aKnown;
  if (aEntry.usable && aEntry.startedAt &&
      before.startedAt > aEntry.startedAt) {
    return { MakeNotice(aEntry, EntryChange::Outdated) };
  }
  m_expired.erase(aEntry.id);
  if (!aEntry.usable || (before.startedAt && !aEntry.startedAt)) {
    aKnown.usable = false;
    return before.usable
             ? std::vector{ MakeNotice(before, EntryChange::Unusable) }
             : std::vector<EntryNotice>{};
  }
  aKnown = aEntry;
  if (before.usable && before.startedAt != aEntry.startedAt) {
    return { MakeNotice(before, EntryChange::Restarted),
             MakeNotice(aEntry, ChangeOfAdded(aEntry)) };
  }
  if (!before.usable) {
    return { MakeNotice(aEntry, ChangeOfAdded(aEntry)) };
  }
  return aEntry.draining && !before.draining
           ? std::vector{ MakeNotice(aEntry, EntryChange::Draining) }
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
  const bool mayBeRenewed =
    MayHaveExpired(aNow) && entry.usable && !entry.draining;
  if (mayBeRenewed) {
    const bool newlyExpired = m_expired.emplace(aId, m_gracePeriodEnd).second;
    return newlyExpired ? std::vector{ MakeNotice(entry, EntryChange::Expired) }
                        : std::vector<EntryNotice>{};
  }
  m_entries.erase(found);
  m_expired.erase(aId);
  return { MakeNotice(entry, EntryChange::Gone) };
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
  for (auto it = m_expired.begin(); it != m_expired.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    const auto entry = m_entries.extract(it->first);
    notices.push_back(MakeNotice(entry.mapped(), EntryChange::Gone));
    it = m_expired.erase(it);
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
