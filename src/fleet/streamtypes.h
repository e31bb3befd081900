#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/enumnames.h"
#include "base/hash.h"
#include "fleet/fleettypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

//! Streams of events and the versions of upstreams' software that generate
//! them. Events of two versions of a service must not be joined in a stream.
namespace hemlockgauge::fleet {

//! A stream, by a hash of the id of the request that brought its first event.
enum class StreamId : std::uint64_t
{
};

//! A version of the software of a service's upstreams, by a hash of both names.
enum class VersionId : std::uint64_t
{
  Unknown = 0
};

inline StreamId
StreamIdOf(std::string_view aRequestId)
{
  return StreamId(base::HashFields({ aRequestId }));
}

inline VersionId
VersionIdOf(const UpstreamEntry& aEntry)
{
  return aEntry.softwareVersion.empty()
           ? VersionId::Unknown
           : VersionId(
               base::HashFields({ aEntry.service, aEntry.softwareVersion }));
}

//! Whether what one version generated can be used by the other. Of an unknown
//! version nothing can.
inline bool
FitTogether(VersionId aFirst, VersionId aOther)
{
  return aFirst != VersionId::Unknown && aFirst == aOther;
}

//! Which version began a stream, as routers tell each other.
struct StreamRecord
{
  StreamId stream{};
  VersionId version = VersionId::Unknown;
  Duration age{};      //!< since the version was observed
  Duration lifetime{}; //!< how much longer the stream may be resumed

  bool operator==(const StreamRecord&) const = default;
};

enum class StreamMessageKind : std::uint8_t
{
  Store, //!< records to keep
  Query, //!< asks for the records of streams
  Reply  //!< records that were asked for; lifetime 0: not known
};
inline constexpr auto kStreamMessageKindNames =
  base::MakeEnumNames<StreamMessageKind>("store", "query", "reply");

struct StreamMessage
{
  StreamMessageKind kind = StreamMessageKind::Store;
  std::vector<StreamRecord> records;
};

//! A message and its receiver.
struct StreamDatagram
{
  base::Address to;
  StreamMessage message;
};

//! Result of asking other routers which version began a stream.
struct StreamLookupResult
{
  StreamId stream{};
  //! Empty if no router knows the stream.
  std::optional<StreamRecord> record;
  std::size_t asked = 0;    //!< routers
  std::size_t answered = 0; //!< routers
  Duration took{};
};

}
