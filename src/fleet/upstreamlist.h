#pragma once

#include "fleet/fleettypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

//! What became of an upstream's entry.
enum class EntryChange : std::uint8_t
{
  Listed,
  Draining,
  Lapsed, //!< missing after the store was away; may come back
  Gone,
  Restarted, //!< a later incarnation under the same id
  Outdated,  //!< of an earlier incarnation than the known one; not taken
  Unusable   //!< the entry names no upstream any more
};
inline constexpr auto kEntryChangeNames =
  base::MakeEnumNames<EntryChange>("listed",
                                   "draining",
                                   "lapsed",
                                   "gone",
                                   "restarted",
                                   "outdated",
                                   "unusable");

struct EntryNotice
{
  std::string id;
  EntryChange change = EntryChange::Listed;
  UpstreamId upstream{}; //!< the incarnation that the change befell
};

//! The upstreams that the platform's store lists, and those that may come
//! back to it. An upstream that cannot renew its entry while the store is
//! away lapses though it serves; so what is found missing when the store
//! comes back is kept for kLapseGrace. What goes later, or is draining, gets
//! no new work at once.
class UpstreamList
{
public:
  //! aLapseAfter: how long the store must have been away for entries to
  //! lapse in it.
  void Configure(Duration aLapseAfter) { m_lapseAfter = aLapseAfter; }

  void StoreLost(TimePoint aNow);
  //! The store was there at aAt, whether this router reached it or another
  //! one that it learns from.
  void StoreReached(TimePoint aAt);

  std::vector<EntryNotice> Put(const UpstreamEntry& aEntry);
  std::vector<EntryNotice> Remove(const std::string& aId, TimePoint aNow);
  //! All that the store lists now.
  std::vector<EntryNotice> Replace(const std::vector<UpstreamEntry>& aEntries,
                                   TimePoint aNow);
  //! Drops what did not come back in time.
  std::vector<EntryNotice> Tick(TimePoint aNow);

  //! All that are known, also those that may get no work.
  const std::map<std::string, UpstreamEntry>& Entries() const
  {
    return m_entries;
  }
  bool MayGetWork(const std::string& aId) const;
  bool IsKnown() const { return m_known; }

private:
  bool MayHaveLapsed(TimePoint aNow) const { return aNow < m_lapsesUntil; }
  std::vector<EntryNotice> Add(const UpstreamEntry& aEntry);
  std::vector<EntryNotice> Update(UpstreamEntry& aKnown,
                                  const UpstreamEntry& aEntry);

  Duration m_lapseAfter{ 2400 };
  bool m_known = false;
  std::optional<TimePoint> m_lostAt;
  TimePoint m_lapsesUntil{ TimePoint::min() }; //!< what goes may be a lapse
  TimePoint m_graceUntil{ TimePoint::min() };
  std::map<std::string, UpstreamEntry> m_entries;
  std::map<std::string, TimePoint> m_lapsed; //!< by id: dropped when past
};

}
