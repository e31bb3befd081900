#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "base/verdict.h"
#include "document/documenttypes.h"
#include "quarantine/quarantinetypes.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

//! Events that the decision core handles, actions that it returns, and the
//! frames that routers exchange.
namespace hemlockgauge::decision {

using base::Duration;
using base::PoolId;
using base::RequestId;
using base::RouterId;
using base::TimePoint;
using base::UpstreamId;
using base::WorkspaceId;

enum class HostRole : std::uint8_t
{
  Router,
  Upstream
};
inline constexpr auto kHostRoleNames =
  base::MakeEnumNames<HostRole>("router", "upstream");

enum class HostState : std::uint8_t
{
  Live,
  Leaving,
  Gone
};
inline constexpr auto kHostStateNames =
  base::MakeEnumNames<HostState>("live", "leaving", "gone");

//! One entry of the platform's host list. A higher revision replaces a lower
//! one.
struct HostEntry
{
  std::string name;
  HostRole role = HostRole::Upstream;
  HostState state = HostState::Live;
  std::string zone;
  base::Address address;
  base::Address peerAddress; //!< routers only
  std::string pool;          //!< upstreams only
  std::uint64_t revision = 0;
};

enum class MemberState : std::uint8_t
{
  Alive,
  Left,
  Dead
};
inline constexpr auto kMemberStateNames =
  base::MakeEnumNames<MemberState>("alive", "left", "dead");

//! States that a router is alive, has left or is dead; passed on from router to
//! router.
struct MemberNotice
{
  RouterId router{};
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::Alive;

  bool operator==(const MemberNotice&) const = default;
};

//! Demand and service of one workspace, summed over the sender and the routers
//! below it in the tree. Sent to the parent.
struct DemandEntry
{
  WorkspaceId workspace{};
  std::uint32_t demand = 0; //!< requests queued and running
  std::uint32_t served = 0; //!< slot time in units of 10 ms; wraps around
};

//! Demand and lag of one workspace over the whole fleet, computed by the root
//! of the tree. Sent to the children.
struct TotalEntry
{
  WorkspaceId workspace{};
  std::uint32_t demand = 0;
  //! Lag behind its share, in ms of service at its share.
  std::int32_t lagMs = 0;
};

//! Number of slots of an upstream that its owner has not granted to any router.
struct FreeHint
{
  UpstreamId upstream{};
  std::uint16_t free = 0;
};

//! State of one lease and the slots wanted; sent from a borrower to the owner
//! of the upstream.
struct SlotReport
{
  UpstreamId upstream{};
  std::uint32_t ownerBoot = 0; //!< Frame::boot of the owner that granted
  std::uint32_t ackedSequence =
    0; //!< sequence; 0: no grant received yet (claim)
  std::uint16_t held = 0;
  std::uint16_t inUse = 0;
  std::uint16_t want = 0;
  //! Slots held, in percent of the entitlement; the lowest is served first.
  std::uint16_t heldPercent = 0;
};

//! Slots of one upstream granted to a borrower; sent by the owner.
struct SlotGrant
{
  UpstreamId upstream{};
  std::uint32_t sequence = 0;
  std::uint16_t granted = 0;
  std::uint16_t wantedBack = 0; //!< slots to return, wanted by other routers
};

struct DocumentVersion
{
  std::string name;
  std::uint64_t revision = 0;
};

struct DocumentBody
{
  std::string name;
  std::uint64_t revision = 0;
  std::string text;
};

//! One message between two routers.
struct Frame
{
  RouterId sender{};
  std::uint32_t incarnation = 0;
  std::uint32_t boot = 0; //!< incarnation at the start of the process
  std::uint32_t sequence = 0;
  std::uint32_t digest = 0;        //!< of the known documents and hosts
  std::uint32_t membersDigest = 0; //!< of the known members
  bool wantsSnapshot = false;      //!< asks for the receiver's whole state
  std::vector<MemberNotice> members;
  std::vector<HostEntry> hosts;
  std::vector<DocumentVersion> versions;
  std::vector<DocumentBody> documents;
  std::vector<DemandEntry> subtreeDemand;
  std::vector<TotalEntry> fleetTotals;
  std::vector<FreeHint> hints;
  std::vector<SlotReport> reports;
  std::vector<SlotGrant> grants;
  quarantine::CrashUpdates crashUpdates;
};

enum class AttemptOutcome
{
  Completed,
  ConnectFailed, //!< not connected: no byte was sent
  Refused,       //!< the upstream refused the request without running it
  NotSent,       //!< SendRequest::validUntil had passed before it was sent
  BrokenEarly,   //!< sent, but no byte of the answer reached the caller
  BrokenLate,    //!< broken after part of the answer reached the caller
  CallerGone
};
inline constexpr auto kAttemptOutcomeNames =
  base::MakeEnumNames<AttemptOutcome>("completed",
                                      "connect-failed",
                                      "refused",
                                      "not-sent",
                                      "broken-early",
                                      "broken-late",
                                      "caller-gone");

enum class RefusalReason
{
  Draining,
  UnknownWorkspace,
  QueueFull,
  RateLimit,
  DeadlineUnreachable,
  DeadlinePassed,
  NoUpstream,
  RetriesSpent,
  UpstreamFailed,
  Broken,
  Quarantined //!< upstreams crashed while they ran this request
};
inline constexpr auto kRefusalReasonNames =
  base::MakeEnumNames<RefusalReason>("draining",
                                     "unknown-workspace",
                                     "queue-full",
                                     "rate-limit",
                                     "deadline-unreachable",
                                     "deadline-passed",
                                     "no-upstream",
                                     "retries-spent",
                                     "upstream-failed",
                                     "broken",
                                     "quarantined");

// ---- events

struct RequestQueued
{
  RequestId request{};
  PoolId pool{};
  WorkspaceId workspace{};
  TimePoint deadline{};
  bool repeatable = false;
  //! Identical for repetitions of the same request; 0: unknown.
  quarantine::RequestFingerprint fingerprint{};
};

struct RequestAbandoned
{
  RequestId request{};
};

struct AttemptEnded
{
  RequestId request{};
  AttemptOutcome outcome = AttemptOutcome::Completed;
  bool upstreamLeaving = false; //!< stated in the answer
  //! Of a refusal: the upstream wants no requests from this router for so long;
  //! 0: not stated.
  Duration retryAfter{};
};

struct FrameReceived
{
  Frame frame;
  std::size_t bytes = 0;
};

//! A connection to a peer broke or could not be opened.
struct LinkLost
{
  RouterId router{};
};

struct DocumentRead
{
  std::string name;
  std::uint64_t revision = 0;
  std::string text;
};

struct HostsRead
{
  std::uint64_t revision = 0;
  std::vector<HostEntry> hosts;
};

struct LoadReported
{
  UpstreamId upstream{};
  std::uint32_t running = 0;
  bool leaving = false;
};

//! Result of CheckUpstream.
struct UpstreamChecked
{
  UpstreamId upstream{};
  quarantine::CheckResult result = quarantine::CheckResult::Unknown;
};

//! Sent each kTickInterval, for work that depends on the time.
struct Tick
{};

struct DrainStarted
{};

using Event = std::variant<Tick,
                           RequestQueued,
                           RequestAbandoned,
                           AttemptEnded,
                           FrameReceived,
                           LinkLost,
                           DocumentRead,
                           HostsRead,
                           LoadReported,
                           UpstreamChecked,
                           DrainStarted>;

// ---- actions

struct SendRequest
{
  RequestId request{};
  UpstreamId upstream{};
  base::Address address;
  std::uint32_t attempt = 1;
  TimePoint validUntil{}; //!< the request must not be sent later
};

struct RefuseRequest
{
  RequestId request{};
  RefusalReason reason = RefusalReason::Draining;
  base::Verdict verdict = base::Verdict::NotRun;
  Duration retryAfter{};
};

struct SendFrame
{
  RouterId router{};
  base::Address address;
  Frame frame;
};

struct DocumentInForce
{
  std::uint64_t revision = 0;
  std::shared_ptr<const document::ServiceDocument> document;
};

struct DocumentRefused
{
  std::string name;
  std::uint64_t revision = 0;
  std::string why;
};

//! Starts or stops the watch of the platform's documents and hosts.
struct WatchPlatform
{
  bool on = false;
};

//! Asks an upstream for its load; answered by LoadReported.
struct PollLoad
{
  UpstreamId upstream{};
  base::Address address;
};

//! Checks whether an upstream still accepts connections; answered by
//! UpstreamChecked. Follows a connection that broke during a request.
struct CheckUpstream
{
  UpstreamId upstream{};
  base::Address address;
};

//! The drain is complete: no request is left and the process may exit.
struct Drained
{};

enum class DecisionKind
{
  Queued,
  Placed,
  Retried,
  Refused,
  Ended,
  Abandoned,
  Ejected,
  Readmitted,
  Paused, //!< an upstream refused a request with Retry-After
  MemberChanged,
  SlotsGranted,
  SlotsExpired,
  HostChanged,
  QuarantineChanged,
  ResumedAfterPause,
  InvariantBroken
};
inline constexpr auto kDecisionKindNames =
  base::MakeEnumNames<DecisionKind>("queued",
                                    "placed",
                                    "retried",
                                    "refused",
                                    "ended",
                                    "abandoned",
                                    "ejected",
                                    "readmitted",
                                    "paused",
                                    "member-changed",
                                    "slots-granted",
                                    "slots-lapsed",
                                    "host-changed",
                                    "quarantine-changed",
                                    "woke",
                                    "invariant-broken");

//! One decision, for the log and for the explanation of a request.
struct DecisionRecord
{
  DecisionKind kind = DecisionKind::Queued;
  RequestId request{};
  std::string workspace;
  std::string upstream;
  std::string why;
};

using Action = std::variant<SendRequest,
                            RefuseRequest,
                            SendFrame,
                            DocumentInForce,
                            DocumentRefused,
                            WatchPlatform,
                            PollLoad,
                            CheckUpstream,
                            Drained,
                            DecisionRecord>;

//! Settings of a DecisionCore.
struct CoreSettings
{
  HostEntry self;
  std::uint32_t incarnation = 1; //!< higher than at any earlier start
  std::vector<base::Address>
    seedAddresses; //!< peer addresses to join the fleet by
  document::PolicyKind policy = document::PolicyKind::Entitlement;
  std::uint64_t randomSeed = 1; //!< of the random number generator
};

// ---- status

struct WorkspaceStatus
{
  std::string service;
  std::string name;
  WorkspaceId id{};
  std::uint32_t queuedHere = 0;
  std::uint32_t runningHere = 0;
  std::uint32_t demandFleet = 0;
  double entitledFleet = 0; //!< slots
  double entitledHere = 0;  //!< slots
  double servedHere = 0;    //!< slot seconds
  //! Lag behind its share, in seconds of service at its share.
  double lagSeconds = 0;
};

struct MemberStatus
{
  std::string name;
  std::string zone;
  MemberState state = MemberState::Alive;
  base::Address address;
};

struct UpstreamStatus
{
  std::string name;
  std::string pool;
  HostState state = HostState::Live;
  bool ejected = false;
  std::uint32_t held = 0;  //!< slots that this router may use
  std::uint32_t inUse = 0; //!< slots that this router uses
};

struct ControlCounters
{
  std::uint64_t framesSent = 0;
  std::uint64_t bytesSent = 0; //!< estimate, with the TCP and IP headers
  std::uint64_t bytesReceived = 0;
  std::uint64_t framesDeferred = 0; //!< delayed by the byte budget
  std::uint64_t invariantsBroken = 0;
  std::uint64_t overdrafts = 0; //!< requests started beyond the slots held
  std::uint64_t retries = 0;
};

struct CoreStatus
{
  bool draining = false;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint32_t freeSlotsOwned = 0; //!< of upstreams owned here, not granted
  std::vector<DocumentVersion> documents;
  std::vector<WorkspaceStatus> workspaces;
  std::vector<MemberStatus> members;
  std::vector<UpstreamStatus> upstreams;
  ControlCounters counters;
};

}
