#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/enumnames.h"
#include "base/hash.h"
#include "fleet/fleettypes.h"

#include <cstdint>
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

}
