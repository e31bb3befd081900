#include "fleet/upstreamsignals.h"

#include "fleet/fleetconstants.h"

namespace hemlockgauge::fleet {

namespace {

//! Whether aStart is a later start of an upstream than aKnown. An entry without
//! a start time proves no restart.
bool
IsLaterStart(std::optional<std::uint64_t> aStart,
             std::optional<std::uint64_t> aKnown)
{
  return aStart > aKnown; // empty is less than any value
}

}

UpstreamSignals::Record*
UpstreamSignals::RecordFor(const UpstreamEntry& aEntry, TimePoint aNow)
{
  const auto [found, isNew] = m_records.try_emplace(aEntry.id);
  auto& record = found->second;
  if (isNew || IsLaterStart(aEntry.startedAt, record.startedAt)) {
    record = {};
    record.startedAt = aEntry.startedAt;
    record.lastListedAt = aNow;
    return &record;
  }
  return IsLaterStart(record.startedAt, aEntry.startedAt) ? nullptr : &record;
}

const UpstreamSignals::Record*
UpstreamSignals::Find(const UpstreamEntry& aEntry) const
{
  const auto found = m_records.find(aEntry.id);
  const bool applies = found != m_records.end() &&
                       !IsLaterStart(aEntry.startedAt, found->second.startedAt);
  return applies ? &found->second : nullptr;
}

bool
UpstreamSignals::RecordLeaving(const UpstreamEntry& aEntry, TimePoint aNow)
{
  auto* record = RecordFor(aEntry, aNow);
  if (record == nullptr || record->leaving) {
    return false;
  }
  record->leaving = true;
  return true;
}

bool
UpstreamSignals::IsLeaving(const UpstreamEntry& aEntry) const
{
  const auto* record = Find(aEntry);
  return record != nullptr && record->leaving;
}

void
UpstreamSignals::Sweep(const UpstreamEntries& aListed, TimePoint aNow)
{
  for (auto& [id, record] : m_records) {
    const auto entry = aListed.find(id);
    const bool isListed =
      entry != aListed.end() &&
      !IsLaterStart(entry->second->startedAt, record.startedAt);
    if (isListed) {
      record.lastListedAt = aNow;
    }
  }
  std::erase_if(m_records, [&](const auto& aRecord) {
    return aNow - aRecord.second.lastListedAt >= kSignalRetention;
  });
}

}
