#pragma once

#include "base/basetypes.h"

#include <cstddef>
#include <cstdint>

//! The figures the policy rests on; docs/DESIGN.md says where each is from.
namespace hemlockgauge::decision {

using namespace std::chrono_literals;
using base::Duration;

inline constexpr Duration kTickPeriod = 100ms;

// Membership
inline constexpr std::size_t kTreeDegree = 2;
inline constexpr Duration kMinRound = 1500ms;
inline constexpr Duration kMaxRound = 3000ms;
inline constexpr Duration kRoundPerPeer = 60ms;
inline constexpr int kMissedRounds = 3;
inline constexpr Duration kJoinProbePeriod = 500ms;
inline constexpr Duration kRejoinProbePeriod = 6000ms;
inline constexpr std::size_t kWatchersPerZone = 2;
inline constexpr Duration kPauseLimit = 1500ms;

// Leases on slots
//! A router that hears no other for so long goes on alone.
inline constexpr Duration kJoinWait = 4000ms;
inline constexpr int kLeaseRounds = 6; //!< rounds between renewals
//! Renewals stretch with the fleet, for a router then has more owners.
inline constexpr Duration kLeasePerMember = 750ms;
inline constexpr Duration kLongestLeaseRound = 30000ms;
inline constexpr int kLeaseExpiryRenewals = 3; //!< renewals missed
inline constexpr Duration kClaimWindow = 2500ms;
inline constexpr Duration kPressurePeriod = 2000ms;
inline constexpr Duration kAskPeriod = 4000ms;
//! While there is room in the pool.
inline constexpr Duration kFreeAskPeriod = 300ms;
inline constexpr Duration kUrgentAskPeriod = 1000ms;
inline constexpr Duration kAskExpiry = 5000ms;
//! Each owner asked costs a message, its further upstreams do not.
inline constexpr std::size_t kAskOwners = 6;
inline constexpr std::size_t kMaxAskWidth = 16;
inline constexpr double kOverdraftPart = 0.05;
inline constexpr std::size_t kMaxHints = 4;

// Shares
inline constexpr double kBackloggedFactor = 1.02;
inline constexpr double kLagHorizonSeconds = 8.0;
inline constexpr double kMaxLagSeconds = 60.0;
inline constexpr std::uint32_t kServedUnitMs = 10;

// Requests
inline constexpr std::uint32_t kMaxAttempts = 3;
inline constexpr double kRetryBudgetPart = 0.1;
inline constexpr double kRetryBudgetBurst = 10.0;
inline constexpr Duration kFirstCostGuess = 1000ms;
inline constexpr Duration kMinRetryAfter = 1000ms;
inline constexpr Duration kMaxRetryAfter = 60000ms;

//! What is quarantined is told anew so often, for routers that start or were
//! cut off: some hundred bytes, while anything is.
inline constexpr Duration kQuarantineTold = 5000ms;

// Upstream health
inline constexpr int kFailuresToEject = 3;
inline constexpr Duration kFirstEjection = 1000ms;
inline constexpr Duration kLongestEjection = 30000ms;
inline constexpr double kMaxEjectedPart = 0.5;

// Control traffic: half of 2 KB a second, for each byte sent is received.
inline constexpr double kSendBytesPerSecond = 1000.0;
inline constexpr double kSendBurstBytes = 4000.0;
//! TCP and IP headers of a frame and of the packet that confirms it.
inline constexpr std::size_t kPacketOverheadBytes = 109;
//! The part that heartbeats with their view may take; leases have the rest.
inline constexpr double kHeartbeatPart = 0.6;
inline constexpr double kDemandDeadBand = 0.1;

}
