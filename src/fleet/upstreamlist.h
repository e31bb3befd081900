#pragma once

#include "fleet/fleettypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! Change of an upstream's entry in the store's list.
enum class EntryChange : std::uint8_t
{
  Listed,    //!< added, or usable again
  Draining,  //!< gets no new work
  Expired,   //!< expired during an outage of the store; may be renewed
  Gone,      //!< removed
  Restarted, //!< a later incarnation under the same id
  Outdated,  //!< of an earlier incarnation than the known one; ignored
  Unusable   //!< invalid; nothing is sent to the upstream
};
inline constexpr auto kEntryChangeNames =
  base::MakeEnumNames<EntryChange>("listed",
                                   "draining",
                                   "lapsed",
                                   "gone",
                                   "restarted",
                                   "outdated",
                                   "unusable");

//! Entry of one upstream before and after one or several changes.
struct EntryUpdate
{
  UpstreamEntryPtr before; //!< null: the upstream was not listed
  UpstreamEntryPtr after;  //!< null: the upstream is no longer listed

  const std::string& Id() const { return before ? before->id : after->id; }
};

using UpstreamEntries = std::map<std::string, UpstreamEntryPtr>;

//! Reports one change of an entry.
struct EntryNotice
{
  std::string id;
  EntryChange change = EntryChange::Listed;
  UpstreamId upstream{};       //!< the incarnation that changed
  std::string softwareVersion; //!< of that incarnation; empty if unknown
};

//! The upstreams that the platform's store lists. While the store is
//! unreachable, upstreams can't renew their entries, so that entries expire
//! although their upstreams serve. Entries that are missing when the store is
//! reachable again are therefore kept for kExpiryGracePeriod. Entries that are
//! removed later, or of upstreams that are draining, get no new work at once.
class UpstreamList
{
public:
  //! aLapseAfter is the time to live of entries in the store: after an outage
  //! of at least this length, missing entries may have expired.
  void Configure(Duration aLapseAfter) { m_entryTtl = aLapseAfter; }

  //! Records that the store is unreachable since aNow.
  void StoreLost(TimePoint aNow);
  //! Records that this router, or the router that it gets its data from,
  //! reached the store at aAt.
  void StoreReached(TimePoint aAt);

  //! Adds or updates one entry.
  std::vector<EntryNotice> Put(const UpstreamEntry& aEntry);
  //! Removes an entry, or keeps it for a grace period if it may have expired.
  std::vector<EntryNotice> Remove(const std::string& aId, TimePoint aNow);
  //! Replaces all entries by those that the store lists now.
  std::vector<EntryNotice> Replace(const std::vector<UpstreamEntry>& aEntries,
                                   TimePoint aNow);
  //! Removes expired entries that were not renewed within the grace period.
  std::vector<EntryNotice> Tick(TimePoint aNow);

  //! All known entries, including unusable and draining ones.
  const UpstreamEntries& Entries() const { return m_entries; }
  //! Returns the entries that differ from those at the previous call, by id.
  //! Heartbeats that leave an entry as it is are no changes.
  std::vector<EntryUpdate> TakeUpdates();
  //! Digest of all entries, equal at all routers that have the same list.
  std::uint64_t Digest() const;
  //! Whether the upstream may get new requests.
  bool MayGetWork(const std::string& aId) const;
  //! Whether the whole list was received at least once.
  bool IsKnown() const { return m_known; }

private:
  bool MayHaveExpired(TimePoint aNow) const { return aNow < m_expiryWindowEnd; }
  std::vector<EntryNotice> Add(const UpstreamEntry& aEntry);
  std::vector<EntryNotice> Update(const UpstreamEntry& aKnown,
                                  const UpstreamEntry& aEntry);
  //! Stores an entry unless an equal one is stored.
  void Store(const UpstreamEntry& aEntry);
  void Erase(UpstreamEntries::iterator aEntry);
  //! Records the entry that an update replaces, unless one is recorded already.
  void RecordBefore(const std::string& aId, const UpstreamEntryPtr& aBefore);

  Duration m_entryTtl{ 2400 };
  bool m_known = false;
  std::optional<TimePoint> m_storeLostAt;
  //! Until then, a missing entry may have expired during an outage.
  TimePoint m_expiryWindowEnd{ TimePoint::min() };
  TimePoint m_gracePeriodEnd{ TimePoint::min() };
  UpstreamEntries m_entries;
  //! Entries as of the last TakeUpdates, of upstreams that changed since.
  UpstreamEntries m_before;
  //! Sum of the entries' hashes, so that a change costs one hash.
  std::uint64_t m_entryHashSum = 0;
  //! Expired entries, by id, with the end of their grace period.
  std::map<std::string, TimePoint> m_expired;
};

}
