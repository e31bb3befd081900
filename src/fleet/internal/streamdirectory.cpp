#include "fleet/streamdirectory.h"

#include "fleet/streamholders.h"

#include <algorithm>
#include <utility>

namespace hemlockgauge::fleet {

namespace {

std::vector<std::uint32_t>
HashesOf(const std::vector<FleetMember>& aMembers)
{
  std::vector<std::uint32_t> hashes;
  hashes.reserve(aMembers.size());
  for (const auto& member : aMembers) {
    hashes.push_back(member.hash);
  }
  return hashes;
}

bool
Contains(const std::vector<std::uint32_t>& aHashes, std::uint32_t aHash)
{
  return std::find(aHashes.begin(), aHashes.end(), aHash) != aHashes.end();
}

}

StreamDirectory::StreamDirectory(const FleetMember& aSelf, std::size_t aCopies)
  : m_self(aSelf)
  , m_copies(aCopies)
  , m_members{ aSelf }
{
}

std::vector<FleetMember>
StreamDirectory::HoldersOf(StreamId aStream, std::size_t aCount) const
{
  return StreamHolders(aStream, m_members, m_self.address, aCount);
}

void
StreamDirectory::SetMembers(const std::vector<FleetMember>& aOthers,
                            TimePoint aNow)
{
  m_members = aOthers;
  m_members.push_back(m_self);
  for (auto& [stream, own] : m_own) {
    if (const auto record = m_records.Find(stream, aNow)) {
      SendCopies(*record, own);
    }
  }
}

//! Sends the record to those of its holders that have not got it yet.
void
StreamDirectory::SendCopies(const StreamRecord& aRecord, OwnStream& aOwn)
{
  const auto holders = HoldersOf(aRecord.stream, m_copies);
  for (const auto& holder : holders) {
    if (!Contains(aOwn.holders, holder.hash)) {
      Store(aRecord, holder.address);
    }
  }
  aOwn.holders = HashesOf(holders);
}

void
StreamDirectory::Store(const StreamRecord& aRecord, const base::Address& aTo)
{
  auto& datagram = m_toStore[aTo.Text()];
  datagram.to = aTo;
  datagram.message.records.push_back(aRecord);
  if (datagram.message.records.size() >= kMaxStreamRecordsPerDatagram) {
    m_datagrams.push_back(std::exchange(datagram, {}));
    m_toStore.erase(aTo.Text());
  }
}

void
StreamDirectory::RecordBegin(StreamId aStream,
                             VersionId aVersion,
                             Duration aLifetime,
                             TimePoint aNow)
{
  const auto lifetime = std::min(aLifetime, kMaxStreamRecordLifetime);
  m_records.Put({ aStream, aVersion, Duration{}, lifetime }, aNow);
  const auto record = m_records.Find(aStream, aNow);
  if (!record) {
    return;
  }
  auto& own = m_own[aStream];
  own.expiresAt = aNow + record->lifetime;
  own.holders.clear();
  SendCopies(*record, own);
}

void
StreamDirectory::Ask(StreamId aStream, TimePoint aNow)
{
  const auto [it, isNew] = m_lookups.try_emplace(aStream);
  if (!isNew) {
    return;
  }
  it->second.beganAt = aNow;
  for (const auto& holder : HoldersOf(aStream, kStreamRoutersAsked)) {
    it->second.asked.push_back({ holder.address });
  }
  if (it->second.asked.empty()) {
    EndLookup(it, std::nullopt, aNow);
    return;
  }
  SendQuery(aStream, it->second, aNow);
}

void
StreamDirectory::SendQuery(StreamId aStream, Lookup& aLookup, TimePoint aNow)
{
  aLookup.askedAt = aNow;
  for (const auto& router : aLookup.asked) {
    if (!router.answered) {
      m_datagrams.push_back(
        { router.address, { StreamMessageKind::Query, { { aStream } } } });
    }
  }
}

void
StreamDirectory::Take(const StreamMessage& aMessage,
                      const base::Address& aFrom,
                      TimePoint aNow)
{
  switch (aMessage.kind) {
    case StreamMessageKind::Store:
      for (auto record : aMessage.records) {
        record.lifetime = std::min(record.lifetime, kMaxStreamRecordLifetime);
        m_records.Put(record, aNow);
      }
      return;
    case StreamMessageKind::Query:
      AnswerQuery(aMessage, aFrom, aNow);
      return;
    case StreamMessageKind::Reply:
      for (const auto& record : aMessage.records) {
        TakeReply(record, aFrom, aNow);
      }
      return;
  }
}

void
StreamDirectory::AnswerQuery(const StreamMessage& aQuery,
                             const base::Address& aFrom,
                             TimePoint aNow)
{
  StreamMessage reply{ StreamMessageKind::Reply, {} };
  for (const auto& asked : aQuery.records) {
    const auto record = m_records.Find(asked.stream, aNow);
    reply.records.push_back(record.value_or(StreamRecord{ asked.stream }));
  }
  m_datagrams.push_back({ aFrom, std::move(reply) });
}

void
StreamDirectory::TakeReply(const StreamRecord& aRecord,
                           const base::Address& aFrom,
                           TimePoint aNow)
{
  const auto found = m_lookups.find(aRecord.stream);
  if (found == m_lookups.end()) {
    return;
  }
  auto& asked = found->second.asked;
  const auto router =
    std::find_if(asked.begin(), asked.end(), [&](const AskedRouter& aOne) {
      return aOne.address == aFrom;
    });
  if (router == asked.end()) {
    return;
  }
  router->answered = true;
  if (aRecord.lifetime > Duration{}) {
    m_records.Put(aRecord, aNow);
    EndLookup(found, aRecord, aNow);
    return;
  }
  const bool allAnswered =
    std::all_of(asked.begin(), asked.end(), [](const AskedRouter& aOne) {
      return aOne.answered;
    });
  if (allAnswered) {
    EndLookup(found, std::nullopt, aNow);
  }
}

void
StreamDirectory::EndLookup(std::map<StreamId, Lookup>::iterator aLookup,
                           const std::optional<StreamRecord>& aRecord,
                           TimePoint aNow)
{
  const auto& asked = aLookup->second.asked;
  StreamLookupResult result;
  result.stream = aLookup->first;
  result.record = aRecord;
  result.asked = asked.size();
  result.answered = static_cast<std::size_t>(
    std::count_if(asked.begin(), asked.end(), [](const AskedRouter& aOne) {
      return aOne.answered;
    }));
  result.took = aNow - aLookup->second.beganAt;
  m_lookups.erase(aLookup);
  m_results.push_back(result);
}

void
StreamDirectory::Tick(TimePoint aNow)
{
  m_records.Sweep(aNow);
  std::erase_if(
    m_own, [&](const auto& aOne) { return aOne.second.expiresAt <= aNow; });
  for (auto it = m_lookups.begin(); it != m_lookups.end();) {
    const auto lookup = it++;
    if (aNow - lookup->second.beganAt >= kStreamLookupTimeout) {
      EndLookup(lookup, std::nullopt, aNow);
    } else if (aNow - lookup->second.askedAt >= kStreamQueryInterval) {
      SendQuery(lookup->first, lookup->second, aNow);
    }
  }
}

void
StreamDirectory::HandOver(TimePoint aNow)
{
  for (const auto& record : m_records.All(aNow)) {
    for (const auto& holder : HoldersOf(record.stream, m_copies)) {
      Store(record, holder.address);
    }
  }
}

std::vector<StreamDatagram>
StreamDirectory::TakeDatagrams()
{
  auto datagrams = std::exchange(m_datagrams, {});
  for (auto& [address, datagram] : m_toStore) {
    datagrams.push_back(std::move(datagram));
  }
  m_toStore.clear();
  return datagrams;
}

std::vector<StreamLookupResult>
StreamDirectory::TakeResults()
{
  return std::exchange(m_results, {});
}

}
