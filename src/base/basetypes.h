#pragma once

#include <chrono>
#include <cstdint>
#include <type_traits>

namespace hemlockgauge::base {

using Duration = std::chrono::milliseconds;

//! Milliseconds since an arbitrary epoch; monotonic on each host and not
//! comparable between hosts.
using TimePoint = std::chrono::milliseconds;

//! Ids on the wire are 32-bit hashes of names. The document parser and the
//! host list reject a second name with the same hash.
enum class RouterId : std::uint32_t
{
};
enum class UpstreamId : std::uint32_t
{
};
enum class PoolId : std::uint32_t
{
};
enum class ServiceId : std::uint32_t
{
};
enum class WorkspaceId : std::uint32_t
{
};
//! Unique within one run of one router process.
enum class RequestId : std::uint64_t
{
};

template<typename Id>
constexpr auto
Raw(Id aId)
{
  return static_cast<std::underlying_type_t<Id>>(aId);
}

}
