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

//! What goes into the decision core (events) and what comes out (actions).
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

//! One line of the platform's host list. A higher revision replaces a
//! lower one.
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

struct MemberNotice
{
  RouterId router{};
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::Alive;

  bool operator==(const MemberNotice&) const = default;
};

//! Demand and service of one workspace over some set of routers.
struct DemandEntry
{
  WorkspaceId workspace{};
  std::uint32_t demand = 0; //!< requests queued and running
  std::uint32_t served = 0; //!< slot time in units of 10 ms, wraps around
};

//! What the root of the tree makes of it for the whole fleet.
struct TotalEntry
{
  WorkspaceId workspace{};
  std::uint32_t demand = 0;
  std::int32_t behindMs = 0; //!< behind its share, in time of a share
};

//! Slots that the owner of an upstream has free.
struct FreeHint
{
  UpstreamId upstream{};
  std::uint16_t free = 0;
};

//! From a borrower to the owner of an upstream.
struct SlotReport
{
  UpstreamId upstream{};
  std::uint32_t ownerBoot = 0;  //!< which run of the owner granted
  std::uint32_t ackedGrant = 0; //!< 0: a claim, no grant seen yet
  std::uint16_t held = 0;
  std::uint16_t inUse = 0;
  std::uint16_t want = 0;
  std::uint16_t urgency = 0; //!< held in percent of entitled; low is urgent
};

//! From the owner of an upstream to a borrower.
struct SlotGrant
{
  UpstreamId upstream{};
  std::uint32_t sequence = 0;
  std::uint16_t granted = 0;
  std::uint16_t wantedBack = 0; //!< slots that routers with less wait for
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
  std::uint32_t boot = 0; //!< the incarnation that this run began with
  std::uint32_t sequence = 0;
  std::uint32_t digest = 0;        //!< over documents and hosts known
  std::uint32_t membersDigest = 0; //!< over the members known
  bool wantsSnapshot = false;      //!< asks for all that the receiver knows
  std::vector<MemberNotice> members;
  std::vector<HostEntry> hosts;
  std::vector<DocumentVersion> versions;
  std::vector<DocumentBody> documents;
  std::vector<DemandEntry> up;
  std::vector<TotalEntry> down;
  std::vector<FreeHint> hints;
  std::vector<SlotReport> reports;
  std::vector<SlotGrant> grants;
  quarantine::CrashUpdates crashNews;
};

enum class AttemptOutcome
{
  Completed,
  ConnectFailed, //!< no byte was handed to a connection
  Refused,       //!< the upstream refused it before running
  NotSent,       //!< its permission had lapsed before it was sent
  BrokenEarly,   //!< sent, and no byte of answer reached the caller
  BrokenLate,    //!< part of the answer reached the caller
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
  Quarantined //!< upstreams crash under it
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
  //! The same each time that the same request comes; 0: not known.
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
  bool upstreamLeaving = false; //!< the answer said so
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

//! What a look at an upstream told whose connection broke under a request.
struct UpstreamChecked
{
  UpstreamId upstream{};
  quarantine::CheckResult result = quarantine::CheckResult::Unknown;
};

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
  TimePoint validUntil{}; //!< not to be sent after this
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

//! Whether this router is one of those that watch the platform.
struct WatchPlatform
{
  bool on = false;
};

struct PollLoad
{
  UpstreamId upstream{};
  base::Address address;
};

//! Whether it still listens; to be answered by UpstreamChecked.
struct CheckUpstream
{
  UpstreamId upstream{};
  base::Address address;
};

//! No request is left: the process may end.
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
  MemberChanged,
  SlotsGranted,
  SlotsLapsed,
  HostChanged,
  QuarantineChanged,
  Woke,
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
                                    "member-changed",
                                    "slots-granted",
                                    "slots-lapsed",
                                    "host-changed",
                                    "quarantine-changed",
                                    "woke",
                                    "invariant-broken");

//! One decision, for the log and for explaining a request later.
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

//! What the core is told at its start.
struct CoreSettings
{
  HostEntry self;
  std::uint32_t incarnation = 1; //!< higher than at any earlier start
  std::vector<base::Address> seeds;
  document::PolicyKind policy = document::PolicyKind::Entitlement;
  std::uint64_t seed = 1;
};

// ---- what the core shows

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
  double lagSeconds = 0;    //!< behind its share, in seconds of a share
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
  std::uint32_t held = 0;
  std::uint32_t inUse = 0;
};

struct ControlCounters
{
  std::uint64_t framesSent = 0;
  std::uint64_t bytesSent = 0; //!< with the headers of TCP and IP
  std::uint64_t bytesReceived = 0;
  std::uint64_t framesDeferred = 0;
  std::uint64_t invariantsBroken = 0;
  std::uint64_t overdrafts = 0;
  std::uint64_t retries = 0;
};

struct CoreStatus
{
  bool draining = false;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint32_t freeSlotsOwned = 0; //!< not lent, of upstreams owned here
  std::vector<DocumentVersion> documents;
  std::vector<WorkspaceStatus> workspaces;
  std::vector<MemberStatus> members;
  std::vector<UpstreamStatus> upstreams;
  ControlCounters counters;
};

}
