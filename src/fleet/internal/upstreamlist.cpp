#include "fleet/upstreamlist.h"

#include "base/hash.h"
#include "fleet/fleetconstants.h"

#include <string>
#include <string_view>
#include <unordered_set>

namespace hemlockgauge::fleet {

namespace {

EntryNotice
MakeNotice(const UpstreamEntry& aEntry, EntryChange aChange)
{
  return { aEntry.id, aChange, UpstreamIdOf(aEntry), aEntry.softwareVersion };
}

EntryChange
ChangeOfAdded(const UpstreamEntry& aEntry)
{
  if (!aEntry.usable) {
    return EntryChange::Unusable;
  }
  return aEntry.draining ? EntryChange::Draining : EntryChange::Listed;
}

std::uint64_t
HashOf(const UpstreamEntry& aEntry)
{
  return base::HashFields({ aEntry.id,
                            std::to_string(aEntry.startedAt.value_or(0)),
                            aEntry.service,
                            aEntry.address.Text(),
                            aEntry.zone,
                            aEntry.softwareVersion,
                            std::to_string(aEntry.slots),
                            aEntry.usable ? "usable" : "",
                            aEntry.draining ? "draining" : "",
                            std::to_string(aEntry.coldFor.count()) });
}

bool
IsSame(const UpstreamEntryPtr& aFirst, const UpstreamEntryPtr& aOther)
{
  return aFirst == aOther || (aFirst && aOther && *aFirst == *aOther);
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

void
UpstreamList::RecordBefore(const std::string& aId,
                           const UpstreamEntryPtr& aBefore)
{
  m_before.try_emplace(aId, aBefore);
}

void
UpstreamList::Store(const UpstreamEntry& aEntry)
{
  auto& stored = m_entries[aEntry.id];
  if (stored && *stored == aEntry) {
    return;
  }
  RecordBefore(aEntry.id, stored);
  if (stored) {
    m_entryHashSum -= HashOf(*stored);
  }
  m_entryHashSum += HashOf(aEntry);
  stored = std::make_shared<const UpstreamEntry>(aEntry);
}

void
UpstreamList::Erase(UpstreamEntries::iterator aEntry)
{
  RecordBefore(aEntry->first, aEntry->second);
  m_entryHashSum -= HashOf(*aEntry->second);
  m_entries.erase(aEntry);
}

std::vector<EntryUpdate>
UpstreamList::TakeUpdates()
{
  std::vector<EntryUpdate> updates;
  for (const auto& [id, before] : m_before) {
    const auto found = m_entries.find(id);
    const auto after = found == m_entries.end() ? nullptr : found->second;
    if (!IsSame(before, after)) {
      updates.push_back({ before, after });
    }
  }
  m_before.clear();
  return updates;
}

std::uint64_t
UpstreamList::Digest() const
{
  return base::HashFields(
    { std::to_string(m_entries.size()), std::to_string(m_entryHashSum) });
}

std::vector<EntryNotice>
UpstreamList::Put(const UpstreamEntry& aEntry)
{
  const auto found = m_entries.find(aEntry.id);
  if (found == m_entries.end()) {
    return Add(aEntry);
  }
  const auto known = found->second; // Update replaces the stored pointer
  return Update(*known, aEntry);
}

std::vector<EntryNotice>
UpstreamList::Add(const UpstreamEntry& aEntry)
{
  Store(aEntry);
  return { MakeNotice(aEntry, ChangeOfAdded(aEntry)) };
}

//! Upstreams that write their start time always write it. An entry without it
//! after one with it therefore comes from another writer and is unusable.
std::vector<EntryNotice>
UpstreamList::Update(const UpstreamEntry& aKnown, const UpstreamEntry& aEntry)
{
  if (aEntry.usable && aEntry.startedAt &&
      aKnown.startedAt > aEntry.startedAt) {
    return { MakeNotice(aEntry, EntryChange::Outdated) };
  }
  m_expired.erase(aEntry.id);
  if (!aEntry.usable || (aKnown.startedAt && !aEntry.startedAt)) {
    auto unusable = aKnown;
    unusable.usable = false;
    Store(unusable);
    return aKnown.usable
             ? std::vector{ MakeNotice(aKnown, EntryChange::Unusable) }
             : std::vector<EntryNotice>{};
  }
  Store(aEntry);
  if (aKnown.usable && aKnown.startedAt != aEntry.startedAt) {
    return { MakeNotice(aKnown, EntryChange::Restarted),
             MakeNotice(aEntry, ChangeOfAdded(aEntry)) };
  }
  if (!aKnown.usable) {
    return { MakeNotice(aEntry, ChangeOfAdded(aEntry)) };
  }
  return aEntry.draining && !aKnown.draining
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
    MayHaveExpired(aNow) && entry->usable && !entry->draining;
  if (mayBeRenewed) {
    const bool newlyExpired = m_expired.emplace(aId, m_gracePeriodEnd).second;
    return newlyExpired
             ? std::vector{ MakeNotice(*entry, EntryChange::Expired) }
             : std::vector<EntryNotice>{};
  }
  Erase(found);
  m_expired.erase(aId);
  return { MakeNotice(*entry, EntryChange::Gone) };
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
  std::unordered_set<std::string_view> listed;
  listed.reserve(aEntries.size());
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
    const auto found = m_entries.find(it->first);
    notices.push_back(MakeNotice(*found->second, EntryChange::Gone));
    Erase(found);
    it = m_expired.erase(it);
  }
  return notices;
}

bool
UpstreamList::MayGetWork(const std::string& aId) const
{
  const auto found = m_entries.find(aId);
  return found != m_entries.end() && found->second->usable &&
         !found->second->draining;
}

}
