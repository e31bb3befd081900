#pragma once

#include "fleet/streamtypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hemlockgauge::fleet {

//! The records of streams that a router keeps, each until the stream can no
//! longer be resumed. Their number is bounded; the one that would expire first
//! makes room.
class StreamRecords
{
public:
  explicit StreamRecords(std::size_t aMaxRecords)
    : m_maxRecords(aMaxRecords)
  {
  }

  //! Stores a record or extends its lifetime. If the known version differs, the
  //! version becomes unknown.
  void Put(const StreamRecord& aRecord, TimePoint aNow);
  //! The record with its current age and remaining lifetime.
  std::optional<StreamRecord> Find(StreamId aStream, TimePoint aNow) const;
  //! Removes expired records.
  void Sweep(TimePoint aNow);
  std::vector<StreamRecord> All(TimePoint aNow) const;
  std::size_t Size() const { return m_stored.size(); }
  //! Number of records that were removed before they expired.
  std::uint64_t Evicted() const { return m_evicted; }

private:
  struct Stored
  {
    VersionId version = VersionId::Unknown;
    TimePoint observedAt{};
    TimePoint expiresAt{};
  };

  static StreamRecord MakeRecord(StreamId aStream,
                                 const Stored& aStored,
                                 TimePoint aNow);
  void Erase(StreamId aStream);

  std::size_t m_maxRecords;
  std::unordered_map<StreamId, Stored> m_stored;
  std::set<std::pair<TimePoint, StreamId>> m_byExpiry;
  std::uint64_t m_evicted = 0;
};

}
