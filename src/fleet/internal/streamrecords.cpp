#include "fleet/streamrecords.h"

#include <algorithm>

namespace hemlockgauge::fleet {

StreamRecord
StreamRecords::MakeRecord(StreamId aStream,
                          const Stored& aStored,
                          TimePoint aNow)
{
  return { aStream,
           aStored.version,
           aNow - aStored.observedAt,
           aStored.expiresAt - aNow };
}

void
StreamRecords::Put(const StreamRecord& aRecord, TimePoint aNow)
{
  if (aRecord.lifetime <= Duration{}) {
    return;
  }
  const Stored added{ aRecord.version,
                      aNow - aRecord.age,
                      aNow + aRecord.lifetime };
  const auto [it, isNew] = m_stored.try_emplace(aRecord.stream, added);
  auto& stored = it->second;
  if (!isNew) {
    if (stored.version != added.version) {
      stored.version = VersionId::Unknown;
    }
    if (added.expiresAt <= stored.expiresAt) {
      return;
    }
    m_byExpiry.erase({ stored.expiresAt, aRecord.stream });
    stored.expiresAt = added.expiresAt;
  }
  m_byExpiry.insert({ stored.expiresAt, aRecord.stream });
  if (m_stored.size() > m_maxRecords) {
    m_evicted++;
    Erase(m_byExpiry.begin()->second);
  }
}

void
StreamRecords::Erase(StreamId aStream)
{
  const auto found = m_stored.find(aStream);
  m_byExpiry.erase({ found->second.expiresAt, aStream });
  m_stored.erase(found);
}

std::optional<StreamRecord>
StreamRecords::Find(StreamId aStream, TimePoint aNow) const
{
  const auto found = m_stored.find(aStream);
  if (found == m_stored.end() || found->second.expiresAt <= aNow) {
    return std::nullopt;
  }
  return MakeRecord(aStream, found->second, aNow);
}

void
StreamRecords::Sweep(TimePoint aNow)
{
  while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= aNow) {
    Erase(m_byExpiry.begin()->second);
  }
}

std::vector<StreamRecord>
StreamRecords::All(TimePoint aNow) const
{
  std::vector<StreamRecord> all;
  all.reserve(m_stored.size());
  for (const auto& [stream, stored] : m_stored) {
    if (stored.expiresAt > aNow) {
      all.push_back(MakeRecord(stream, stored, aNow));
    }
  }
  return all;
}

}
