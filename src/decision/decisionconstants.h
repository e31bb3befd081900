#pragma once

#include "base/basetypes.h"

#include <cstddef>
#include <cstdint>

//! Tuning constants of the decision core; docs/DESIGN.md gives the reason for
//! each value.
namespace hemlockgauge::decision {

using namespace std::chrono_literals;
using base::Duration;

//! Interval at which the caller sends a Tick event.
inline constexpr Duration kTickInterval = 100ms;

// Membership
//! Children of each router in the tree of routers.
inline constexpr std::size_t kTreeDegree = 2;
//! The heartbeat interval is kHeartbeatIntervalPerPeer times the number of
//! other alive routers, within these limits.
inline constexpr Duration kMinHeartbeatInterval = 1500ms;
inline constexpr Duration kMaxHeartbeatInterval = 3000ms;
inline constexpr Duration kHeartbeatIntervalPerPeer = 60ms;
//! A neighbour that was silent for longer than this many heartbeat intervals is
//! declared dead.
inline constexpr int kMaxMissedHeartbeats = 3;
//! Interval between probes for other routers while this router is alone.
inline constexpr Duration kJoinProbeInterval = 500ms;
//! Interval between probes for routers that are not alive, otherwise.
inline constexpr Duration kRejoinProbeInterval = 6000ms;
//! Routers per zone that watch the platform.
inline constexpr std::size_t kWatchersPerZone = 2;
//! A longer time between two steps means that the process was paused.
inline constexpr Duration kPauseThreshold = 1500ms;

// Leases on slots
//! A router that has received no frame of another one for this long after its
//! start continues alone.
inline constexpr Duration kJoinTimeout = 4000ms;
//! Minimum interval between lease renewals, in heartbeat intervals.
inline constexpr int kMinHeartbeatsPerRenewal = 6;
//! The renewal interval grows with the fleet, because a router then borrows
//! from more owners.
inline constexpr Duration kRenewalIntervalPerMember = 750ms;
inline constexpr Duration kMaxRenewalInterval = 30000ms;
//! A lease expires after this many renewal intervals without a message.
inline constexpr int kMaxMissedRenewals = 3;
//! A new owner of an upstream waits this long for the claims of routers that
//! already hold slots before it grants free ones.
inline constexpr Duration kClaimWindow = 2500ms;
//! Minimum interval between two requests to one borrower to return slots.
inline constexpr Duration kReturnRequestInterval = 2000ms;
//! Interval between requests for slots while the pool is contended.
inline constexpr Duration kSlotRequestInterval = 4000ms;
//! The same while the pool is not contended.
inline constexpr Duration kUncontendedSlotRequestInterval = 300ms;
//! The same while the pool is contended and many slots are missing.
inline constexpr Duration kUrgentSlotRequestInterval = 1000ms;
//! An owner ignores a request for slots that is older than this.
inline constexpr Duration kSlotRequestExpiry = 5000ms;
//! Maximum number of owners asked at a time: each costs a message, while
//! further upstreams of the same owner do not.
inline constexpr std::size_t kMaxOwnersPerSlotRequest = 6;
inline constexpr std::size_t kMaxUpstreamsPerSlotRequest = 16;
//! Slots that may be used beyond the lease, as a ratio of the slots held.
inline constexpr double kOverdraftRatio = 0.05;
//! Maximum number of free slot hints in a heartbeat.
inline constexpr std::size_t kMaxHints = 4;

// Shares
//! A workspace is backlogged if its demand exceeds its entitlement times this
//! factor.
inline constexpr double kMinBacklogRatio = 1.02;
//! A lag of this many seconds doubles the entitlement, before clamping.
inline constexpr double kLagHorizonSeconds = 8.0;
//! The lag of a workspace is clamped to plus and minus this value.
inline constexpr double kMaxLagSeconds = 60.0;
//! Unit of DemandEntry::served.
inline constexpr std::uint32_t kServedUnitMs = 10;

// Requests
//! Attempts per request, the first one included.
inline constexpr std::uint32_t kMaxAttempts = 3;
//! Retries allowed per first attempt.
inline constexpr double kRetryBudgetRatio = 0.1;
inline constexpr double kRetryBudgetBurst = 10.0;
//! Estimated service time of a workspace until one of its requests has ended.
inline constexpr Duration kInitialServiceTime = 1000ms;
inline constexpr Duration kMinRetryAfter = 1000ms;
inline constexpr Duration kMaxRetryAfter = 60000ms;
//! Longest time that an upstream may keep this router's requests away by a
//! Retry-After. After it, one request finds out whether it still wants none.
inline constexpr Duration kMaxUpstreamPause = 600000ms;

//! Interval at which quarantined requests are sent again, for routers that
//! started or were cut off in the meantime. It costs some hundred bytes while
//! any request is quarantined.
inline constexpr Duration kQuarantineListInterval = 5000ms;

// Upstream health
//! Consecutive failures after which an upstream is ejected.
inline constexpr int kFailuresToEject = 3;
//! Time until an ejected upstream is probed; it doubles with each failed probe.
inline constexpr Duration kMinEjectionTime = 1000ms;
inline constexpr Duration kMaxEjectionTime = 30000ms;
//! Maximum ratio of the upstreams of a pool that may be ejected.
inline constexpr double kMaxEjectedRatio = 0.5;

// Control traffic
//! Half of the limit of 2 KB/s per router, because each byte that is sent is
//! also received by a router.
inline constexpr double kSendBytesPerSecond = 1000.0;
inline constexpr double kSendBurstBytes = 4000.0;
//! TCP and IP headers of a frame and of the packet that acknowledges it.
inline constexpr std::size_t kPacketOverheadBytes = 109;
//! Ratio of the byte budget for heartbeats with their demand entries; the rest
//! is for leases.
inline constexpr double kHeartbeatBudgetRatio = 0.6;
//! Relative change of a demand that is sent before the regular refresh.
inline constexpr double kDemandDeadBand = 0.1;

}
