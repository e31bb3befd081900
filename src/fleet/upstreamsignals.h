#pragma once

#include "fleet/upstreamlist.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hemlockgauge::fleet {

//! What upstreams stated about themselves in answers to this router.
//!
//! An answer is newer than the upstream's entry in the store, which may be
//! outdated, expire, or be listed again by a store that was restored from a
//! copy. A statement therefore holds for its incarnation, whether it is listed
//! or not, until the entry shows a later start.
class UpstreamSignals
{
public:
  //! Records that an upstream is leaving. aEntry: its entry when the request
  //! was sent. Returns false if this was known.
  bool RecordLeaving(const UpstreamEntry& aEntry, TimePoint aNow);
  //! Whether this incarnation, or a later one, stated that it is leaving.
  bool IsLeaving(const UpstreamEntry& aEntry) const;

  //! Forgets upstreams that have not been listed for kSignalRetention. Their
  //! number is limited by the answers that this router received in that time.
  void Sweep(const UpstreamEntries& aListed, TimePoint aNow);
  //! Number of upstreams that statements are stored of.
  std::size_t Size() const { return m_records.size(); }

private:
  struct Record
  {
    std::optional<std::uint64_t> startedAt; //!< see UpstreamEntry
    TimePoint lastListedAt{};
    bool leaving = false;
  };

  //! Returns the record to update for this incarnation, or null if one of a
  //! later incarnation is stored.
  Record* RecordFor(const UpstreamEntry& aEntry, TimePoint aNow);
  //! Returns null if nothing is known that applies to this incarnation.
  const Record* Find(const UpstreamEntry& aEntry) const;

  std::map<std::string, Record> m_records; //!< by the upstream's id
};

}
