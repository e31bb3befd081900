#pragma once

#include "fleet/exchangeplan.h"
#include "fleet/fleetconstants.h"
#include "fleet/streamrecords.h"
#include "fleet/streamtypes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hemlockgauge::fleet {

//! Knows which version of an upstream's software began each stream, so that a
//! stream is resumed at that version at any router.
//!
//! The router that passes on the first event of a stream keeps its record and
//! sends copies to kStreamCopies other routers, which rendezvous hashing
//! chooses. A router that is asked to resume a stream that it does not know
//! asks the first kStreamRoutersAsked of the same order. The records at a
//! router thus grow with the streams of one router, whatever the fleet's size.
//!
//! Uses no sockets or clocks: the caller sends what TakeDatagrams returns and
//! passes received messages and the time.
class StreamDirectory
{
public:
  //! aCopies: number of other routers that get each record.
  explicit StreamDirectory(const FleetMember& aSelf,
                           std::size_t aCopies = kStreamCopies);

  //! Applies the routers that are alive, without this one. Streams that began
  //! here get copies at the routers that are now among their holders.
  void SetMembers(const std::vector<FleetMember>& aOthers, TimePoint aNow);
  //! Records which version generated the first event that a caller gets of a
  //! stream, or of its continuation.
  void RecordBegin(StreamId aStream,
                   VersionId aVersion,
                   Duration aLifetime,
                   TimePoint aNow);
  //! The record of a stream, if this router has it.
  std::optional<StreamRecord> Find(StreamId aStream, TimePoint aNow) const
  {
    return m_records.Find(aStream, aNow);
  }
  //! Asks other routers for a stream's record. TakeResults returns the result.
  void Ask(StreamId aStream, TimePoint aNow);
  //! Applies a message of another router.
  void Take(const StreamMessage& aMessage,
            const base::Address& aFrom,
            TimePoint aNow);
  //! Repeats queries, ends those that got no answer in time and removes expired
  //! records.
  void Tick(TimePoint aNow);
  //! Sends all records to the routers that hold them once this one is gone.
  void HandOver(TimePoint aNow);

  std::vector<StreamDatagram> TakeDatagrams();
  std::vector<StreamLookupResult> TakeResults();
  bool IsAsking() const { return !m_lookups.empty(); }
  const StreamRecords& Records() const { return m_records; }

private:
  //! A stream that began here, with the hashes of the routers that got copies.
  struct OwnStream
  {
    TimePoint expiresAt{};
    std::vector<std::uint32_t> holders;
  };

  struct AskedRouter
  {
    base::Address address;
    bool answered = false;
  };

  struct Lookup
  {
    TimePoint beganAt{};
    TimePoint askedAt{};
    std::vector<AskedRouter> asked;
  };

  std::vector<FleetMember> HoldersOf(StreamId aStream,
                                     std::size_t aCount) const;
  void Store(const StreamRecord& aRecord, const base::Address& aTo);
  void SendCopies(const StreamRecord& aRecord, OwnStream& aOwn);
  void SendQuery(StreamId aStream, Lookup& aLookup, TimePoint aNow);
  void AnswerQuery(const StreamMessage& aQuery,
                   const base::Address& aFrom,
                   TimePoint aNow);
  void TakeReply(const StreamRecord& aRecord,
                 const base::Address& aFrom,
                 TimePoint aNow);
  void EndLookup(std::map<StreamId, Lookup>::iterator aLookup,
                 const std::optional<StreamRecord>& aRecord,
                 TimePoint aNow);

  FleetMember m_self;
  std::size_t m_copies;
  std::vector<FleetMember> m_members; //!< including this router
  StreamRecords m_records{ kMaxStreamRecords };
  std::unordered_map<StreamId, OwnStream> m_own;
  std::map<StreamId, Lookup> m_lookups;
  //! Records to send, by the receiver's address.
  std::map<std::string, StreamDatagram> m_toStore;
  std::vector<StreamDatagram> m_datagrams;
  std::vector<StreamLookupResult> m_results;
};

}
