#pragma once

#include "base/basetypes.h"

#include <cstddef>

//! Limits and weights for placement, admission, retries and the exchange
//! between routers.
namespace hemlockgauge::fleet {

using namespace std::chrono_literals;

// ---- KV cache and prefill speed of an upstream

//! Least ratio of an engine's KV cache that is assumed to hold cached prompts,
//! however many requests run. An engine without room for a request makes it
//! wait and keeps the prompts.
inline constexpr double kMinPromptCacheRatio = 0.1;
//! Tokens of prompts that an engine is assumed to cache if the configuration
//! does not state its KV cache size. This is a small engine's size: expecting
//! a prefix that is gone costs more than reading it again.
inline constexpr double kDefaultPromptCacheTokens = 170000;
//! Overhead of one engine copying cached tokens from another, in ms, besides
//! the transfer: a connection, a request and its response within a region.
inline constexpr double kCopySetupMs = 8.0;
//! A copy is used if it takes at most this many times the prefill time that it
//! saves: only the copying request waits for a copy, but all requests behind
//! it wait for a prefill.
inline constexpr double kMaxCopyCostRatio = 2.0;
//! Prefill speed assumed for an engine that has not answered yet, in tokens
//! per ms.
inline constexpr double kInitialPrefillRate = 28.0;
//! Bounds of a measured sample of the prefill speed, in tokens per ms.
inline constexpr double kMinPrefillRate = 1.0;
inline constexpr double kMaxPrefillRate = 400.0;
//! Prompts below this size, in tokens, are no samples of the prefill speed: the
//! fixed time of an engine step dominates.
inline constexpr double kMinPrefillSampleTokens = 400.0;
//! Weight of a new sample in the moving average of the prefill speed.
inline constexpr double kPrefillRateGain = 0.1;
//! Fixed time that an engine adds to each first token, in ms: one engine step
//! and the network round trip.
inline constexpr double kFirstTokenOverheadMs = 12.0;
//! Number of first tokens after which a service's earlier ones count a third:
//! some seconds at a router.
inline constexpr double kFirstTokenMemory = 200.0;
//! Weight of each of the two first tokens that are assumed for a service.
inline constexpr double kAssumedFirstTokens = 3.0;
//! Prompt of the longer one of them, in tokens.
inline constexpr double kAssumedPromptTokens = 4000.0;
//! A service has a notable fixed time if each first token of the current and
//! the previous window took at least this long, in ms: a few engine steps.
inline constexpr double kNotableFixedFirstTokenMs = 40.0;
//! First tokens in such a window: some of them waited for no other request.
inline constexpr int kLeastFirstTokenWindow = 30;
//! A first token counts with at most this many times the predicted time: longer
//! ones show a fault or a queue that this router did not know of.
inline constexpr double kFirstTokenOutlierRatio = 3.0;
//! Bounds of the learned fixed time to a first token, in ms.
inline constexpr double kMinFixedFirstTokenMs = 2.0;
inline constexpr double kMaxFixedFirstTokenMs = 1000.0;
//! Least weight of a new first token in an engine's slowness.
inline constexpr double kEngineSlownessGain = 0.15;
//! Weight of the mean engine in an engine's slowness, in first tokens.
inline constexpr double kEngineSlownessPrior = 2.0;
//! Bounds of an engine's slowness.
inline constexpr double kMinEngineSlowness = 0.2;
inline constexpr double kMaxEngineSlowness = 6.0;
//! Service time assumed for a plain service that has not answered yet, in ms.
inline constexpr double kInitialServiceMs = 40.0;
//! Weight of a new sample in the moving averages of service times.
inline constexpr double kServiceTimeGain = 0.1;
//! Weight of the service's mean time in the estimate for one of its upstreams,
//! as a number of that upstream's own answers.
inline constexpr double kServiceTimePriorWeight = 20.0;

// ---- placement

//! Penalty per rank in the rendezvous order of a prefix, in ms: the extra wait
//! that a request accepts to stay with an upstream one rank nearer. Half of the
//! time to prefill a mean unshared part of a prompt, so a prefix spreads to
//! further upstreams before requests queue behind each other.
inline constexpr double kRankPenaltyMs = 15.0;
//! Weight of the time to prefill uncached tokens, in addition to its part in
//! the request's own wait: all requests behind it wait too.
inline constexpr double kPrefillCostWeight = 2.0;
//! Ranks beyond this one cost no more than it does.
inline constexpr int kMaxPenalisedRanks = 6;
//! Number of engines that a prefix may be placed on. More engines would
//! prefill the same prefix more often.
inline constexpr std::size_t kPrefixCandidates = 5;
//! Number of sampled engines for a request that none of the engines of its
//! prefix can serve in time.
inline constexpr std::size_t kSampledCandidates = 8;
//! Number of a plain service's upstreams that are considered for a request.
//! Calls have no prefix, so these are drawn anew for each.
inline constexpr std::size_t kPlainCandidates = 64;
//! Penalty per rank for a plain service, as a ratio of its mean service time:
//! an error of this size in the learned time does not draw all requests to one
//! upstream.
inline constexpr double kPlainRankPenaltyRatio = 0.1;
//! Factor (e) on the estimate of what other routers sent since their last
//! reports, when an upstream is drawn. Levelling the load faster, relative to
//! the age of the reports, makes it oscillate.
inline constexpr double kUnseenLoadFactor = 2.72;
//! Penalty for an upstream in another availability zone, in ms: the round trip.
inline constexpr double kCrossZonePenaltyMs = 2.0;
//! Penalty for an upstream whose answers all fail, in ms, scaled by the failure
//! ratio. It exceeds every target, so a failing upstream comes last.
inline constexpr double kFailurePenaltyMs = 4000.0;

// ---- admission

//! A request within its workspace's fair share is admitted if its first token
//! is predicted within this ratio of its target. The rest covers the network
//! and the error of the prediction.
inline constexpr double kInsideShareTargetRatio = 0.9;
//! A request beyond the fair share is admitted only if its wait for other
//! requests is predicted within this ratio of its target, so that it does not
//! delay requests within their share. Requests admitted beyond the shares also
//! slow down the streams that run on the same engine.
inline constexpr double kOutsideShareTargetRatio = 0.10;
//! A router whose event loop has not been idle for this long counts as busy.
inline constexpr base::Duration kBusyThreshold = 150ms;
//! Approximate longest wait of a new connection until it is accepted: a
//! fraction of the shortest targets.
inline constexpr base::Duration kMaxAcceptWait = 100ms;
//! Requests that a router parses per second on a whole core, when it serves
//! some of them and refuses most.
inline constexpr double kRequestsPerCoreSecond = 10000;
//! Bounds of the number of connections that wait to be accepted: callers of a
//! failed router reconnect to the others all at once.
inline constexpr std::size_t kMinAcceptQueue = 64;
inline constexpr std::size_t kMaxAcceptQueue = 1024;
//! Target ratio for a request within its share of the nominal capacity but
//! beyond its share of the usable capacity: between the limits inside and
//! outside the share, nearer to the former.
inline constexpr double kInsideNominalShareTargetRatio = 0.7;
//! Target ratio for a starved workspace: it is served late rather than refused,
//! since callers wait for several targets. Otherwise engines that are full of
//! other workspaces' prompts would hold it at a quarter of its demand.
inline constexpr double kStarvedTargetRatio = 1.5;
//! A large prompt within its workspace's share may take this many times its own
//! prefill time: the wait for others may be a quarter of that time.
inline constexpr double kOwnPrefillFactor = 1.25;
//! Least excess ratio that is used to scale the limit outside the share.
inline constexpr double kMinExcess = 0.1;
//! Greatest factor on the limit outside the share, for a workspace that is far
//! behind the other workspaces beyond their shares.
inline constexpr double kMaxBehindFactor = 4.5;
//! Least Retry-After for a request over its workspace's fleet-wide limit: the
//! limit may have changed by then.
inline constexpr base::Duration kThrottleRetryAfter = 400ms;
//! A workspace beyond its share that gets less than this ratio of what the best
//! served workspace gets may wait like one within its share until it has caught
//! up. No workspace may get less than half.
inline constexpr double kFarBehindRatio = 0.7;
//! A workspace that gets less than this ratio of its demand and of what the
//! best served workspace gets is starved and not throttled. The required
//! minimum is half; the rest is a margin.
inline constexpr double kStarvedRatio = 0.6;
//! Workspaces count as waiting if their unmet demand exceeds this ratio of all
//! that is served.
inline constexpr double kMinUnmetDemandRatio = 0.02;
//! Greatest Retry-After, as a ratio of the time that the caller has left:
//! callers honour up to a third.
inline constexpr double kMaxRetryAfterRatio = 0.3;
//! Least Retry-After.
inline constexpr base::Duration kMinRetryAfter = 20ms;
//! Retry-After for a request without an eligible upstream: another router may
//! know one, or the list may change.
inline constexpr base::Duration kNoUpstreamRetryAfter = 100ms;
//! Retry-After for a request without an eligible upstream if an operator's
//! setting excludes all of them, or if all stay cold for longer.
inline constexpr base::Duration kMaxNoUpstreamRetryAfter = 1000ms;
//! Time constant of the exponentially decaying meters of workspaces' and
//! services' rates: half of the window over which fair shares are owed.
inline constexpr base::Duration kRateTimeConstant = 2000ms;
//! Bounds of the admission rate beyond the shares, as a ratio of the learned
//! prefill speed of all engines. The learned speeds include time spent on
//! generated tokens, so more than 1 can be admitted. While predictions hold,
//! the limit on the predicted wait bounds it anyway.
inline constexpr double kMinOvercommitRatio = 1.0;
inline constexpr double kMaxOvercommitRatio = 3.0;
//! Mean errors of the predicted wait, in ms, between which the admission rate
//! falls from its upper to its lower bound: the error under normal load, and
//! one that makes requests with the shortest targets late.
inline constexpr double kLowForecastErrorMs = 40.0;
inline constexpr double kHighForecastErrorMs = 140.0;
//! Weight of a new first token in the mean prediction error: the average covers
//! about the last 25 of them.
inline constexpr double kForecastErrorGain = 0.04;

//! Target utilisation of a plain service. Above it, with random arrivals, the
//! wait in its queue takes most of a target.
inline constexpr double kMaxCallUtilisation = 0.95;
//! Below this ratio of used slots, all calls to a plain service are admitted:
//! it has room, and a service that answered nothing for a while gets calls
//! again.
inline constexpr double kCallThrottleUtilisation = 0.8;

// ---- failures

//! Weight of a new answer in an upstream's failure ratio.
inline constexpr double kFailureRatioGain = 0.15;
//! Half-life of the failure ratio. A fault of some seconds has ended by then,
//! and one of many routers tries the upstream again every few seconds.
inline constexpr base::Duration kFailureHalfLife = 2000ms;
//! Consecutive failures after which an upstream is ejected for a while.
inline constexpr int kFailuresToEject = 3;
//! Ejection time: it starts at the first value and doubles up to the second.
inline constexpr base::Duration kMinEjectionTime = 500ms;
inline constexpr base::Duration kMaxEjectionTime = 4000ms;
//! Greatest ratio of a service's upstreams that are ejected at once, so that
//! false alarms do not leave the service without upstreams.
inline constexpr double kMaxEjectedRatio = 0.5;

// ---- statements of upstreams about themselves

//! A statement of an upstream is kept for this long after its entry was last
//! listed: a store that was restored from a copy, or a router that was cut off,
//! may list the entry again.
inline constexpr base::Duration kSignalRetention = 600000ms;
//! Interval between checks for statements to forget.
inline constexpr base::Duration kSignalSweepInterval = 10000ms;

//! Ratio of the number of requests at a refusal to which the concurrency limit
//! of an upstream is set. Reports of other routers' requests are late, so the
//! real number was greater.
inline constexpr double kConcurrencyCutRatio = 0.8;
//! Ratio by which the limit grows in each time that the pause took: a pause
//! that is caused by the growth takes about a tenth of the time.
inline constexpr double kConcurrencyGrowthRatio = 0.03;

//! Concurrency limits are applied while at least this ratio of a service's
//! upstreams is paused. The limits follow late reports; in a large fleet, where
//! a router is a small part of an upstream's load, they cost more than a pause.
inline constexpr double kMostlyPausedRatio = 0.5;

// ---- retries

//! Ratio of its part of the fleet's retry budget that a router uses in each of
//! its windows: a sliding window covers parts of two of them.
inline constexpr double kRetryBudgetRatio = 0.5;
//! A retry is not started if it would have less time left than this.
inline constexpr base::Duration kMinRetryTime = 60ms;
//! Greatest number of attempts of a request that no upstream has run.
inline constexpr std::uint32_t kMaxNotRunAttempts = 3;

// ---- retry times of refused callers

//! Resolution of the schedule of retry times: the least Retry-After. Upstreams
//! hold requests that arrive within this time in their queues.
inline constexpr base::Duration kReturnBucket = kMinRetryAfter;
//! Number of buckets: 6 s, which is the latest Retry-After of callers that have
//! 20 s left. Deadlines are shorter.
inline constexpr std::size_t kReturnBuckets = 300;
//! Ratio of a bucket's room that requests beyond their workspace's fair share
//! may fill. The rest is kept for entitled requests that are refused later.
inline constexpr double kOtherReturnsRatio = 0.5;

// ---- exchange between routers

//! Interval between reports of a router.
inline constexpr base::Duration kReportInterval = 100ms;
//! Time between the stages of an exchange: it covers a datagram's latency
//! between zones and one event loop round of a busy router on an eighth of a
//! core.
inline constexpr base::Duration kExchangeStep = 20ms;
//! Lifetime of a received report: ten report intervals, because datagrams get
//! lost. The loss of a router's host is noticed after this time.
inline constexpr base::Duration kReportTtl = 1000ms;
//! A member that no router has heard for this long is forgotten.
inline constexpr base::Duration kMemberTtl = 10000ms;
//! Membership is considered complete if no new member was learned for this
//! long: each known member has told its own list at least once by then.
inline constexpr base::Duration kMembershipSettleTime = 2000ms;
//! A router that nobody has heard for this long is not chosen as a hub.
inline constexpr base::Duration kMemberAliveTimeout = 3000ms;
//! Every so many reports contain the list of members.
inline constexpr std::uint64_t kReportsPerMemberList = 10;
//! Every so many reports repeat the quarantined requests: routers that start or
//! were cut off learn of them within about a second.
inline constexpr std::uint64_t kReportsPerQuarantineList = 10;
//! An engine that prefills nothing and uses at most this ratio of its slots is
//! left out of the fleet sums.
inline constexpr double kQuietSlotsRatio = 1.0 / 16;
//! Interval between reports to the seeds, which lets partitions heal.
inline constexpr base::Duration kSeedInterval = 1000ms;
//! Greatest number of routers that report directly to each other (full mesh).
inline constexpr std::size_t kMaxMeshRouters = 12;
//! Greatest mean number of routers per group: a hub on an eighth of a core
//! receives one datagram per member and report interval.
inline constexpr std::size_t kMaxMeanGroupSize = 24;
//! Number of hubs that exchange zone sums with the other zones.
inline constexpr std::size_t kSpeakersPerZone = 2;
//! Every so many zone sums of a speaker contain the zone's members. With two
//! speakers, other zones hear of each member well within kMemberAliveTimeout.
inline constexpr std::uint64_t kZoneSumsPerMemberList = 5;
//! Number of hubs per group: one may be lost without a gap.
inline constexpr std::size_t kHubsPerGroup = 2;

// ---- the platform's store

//! How long expired entries are kept after the store has returned: upstreams
//! renew their entries within two seconds, the rest covers the network.
inline constexpr base::Duration kExpiryGracePeriod = 2300ms;
//! How long after the store's return a missing entry counts as expired during
//! the outage: the first answer and some network latency.
inline constexpr base::Duration kExpiryDetectionWindow = 300ms;
//! Time after which a store restored from a copy contains its lost entries
//! again: upstreams write them with their next heartbeats.
inline constexpr base::Duration kRewriteGracePeriod = 2300ms;
//! How long routers report to each other that the store was restored from a
//! copy.
inline constexpr base::Duration kEraReportTime = 10000ms;
//! A router that serves the store's state answers a follower's poll after this
//! time at the latest.
inline constexpr base::Duration kNewsPollTimeout = 700ms;
//! Interval of the messages by which a source tells a follower to keep waiting.
inline constexpr base::Duration kPendingInterval = 200ms;
//! A follower expects an answer for this long after such a message.
inline constexpr base::Duration kPendingTimeout = 3 * kPendingInterval;
//! Timeout for answers of a router that is followed.
inline constexpr base::Duration kRouterTimeout = kNewsPollTimeout + 600ms;
//! Timeout for answers of the store: a watch of one second and its answer.
inline constexpr base::Duration kStoreTimeout = 2500ms;
//! Timeout for answers of the store at a router that reads it as its preferred
//! source, while no other router is known to get answers. Longer, because a
//! router that leaves does not notice that the store comes back.
inline constexpr base::Duration kStoreReaderTimeout = 5000ms;
//! Timeout for answers of the store while another router is known to get
//! answers: a watch and some network latency.
inline constexpr base::Duration kStoreFailoverTimeout = 1300ms;
//! Another router's proof that the store's state is current must be newer by
//! this for its source to count as better: a watch ends once a second.
inline constexpr base::Duration kMinProofAdvantage = 1000ms;
//! A source whose last proof is older than this counts as cut off from the
//! store.
inline constexpr base::Duration kMaxSourceProofAge = 2600ms;
//! Least time that a router stays with a source: otherwise all routers would
//! cycle through their sources while the store is away. It doubles with each
//! change, up to the second value, while all sources are cut off.
inline constexpr base::Duration kMinSourceDwell = 500ms;
inline constexpr base::Duration kMaxSourceDwell = 4000ms;
//! Time with another source after which the preferred one is tried again.
inline constexpr base::Duration kSourceRetryInterval = 5000ms;
//! Number of routers in a large fleet that read the store on behalf of all.
//! Each waits in a watch of one second; two may be lost or cut off without a
//! gap.
inline constexpr std::size_t kStoreReaders = 3;
//! If the last proof is older than this, no reader reaches the store. It covers
//! a watch, the age that the proof has in its answer, and two hops between
//! routers.
inline constexpr base::Duration kTakeoverProofAge = 2600ms;
//! Delay between the routers that then turn to the store, in their order: a
//! dozen have tried before keys become unusable, and an outage of ten seconds
//! brings about fifty routers to the store, not all.
inline constexpr base::Duration kTakeoverStagger = 150ms;
//! Backoff of a router that turned to the store in vain.
inline constexpr base::Duration kTakeoverBackoff = 2000ms;
//! Default time that a starting router waits for a sign of a source before it
//! tries the next one: some round trips between zones. It is short because
//! callers may be waiting, and a router that was lost gives no sign.
inline constexpr base::Duration kDefaultSeedWait = 40ms;
//! Time after its start by which a router knows the fleet in any case: the
//! seeds have told it the members, and its hubs have heard of it.
inline constexpr base::Duration kSourceSettleTime = 2000ms;
//! Time within which routers that start together, as after a power loss, are
//! all listening.
inline constexpr base::Duration kStartSpread = 400ms;
//! A router that has no list after this time looks for a source like one that
//! runs: the seeds may be cut off from the store. A seed reads the store for
//! this long after its start.
inline constexpr base::Duration kMaxStartTime = 10000ms;
//! A follower is sent a proof that is newer by this without waiting for its
//! poll to time out: otherwise a proof would age by kNewsPollTimeout on each
//! hop.
inline constexpr base::Duration kProofPushInterval = 500ms;
//! Margin below the bound within which a withdrawn key must stop working.
inline constexpr base::Duration kRevocationMargin = 500ms;

// ---- versions of streams

//! Routers that get a copy of a stream's record besides the router at which it
//! began. They are in two availability zones.
inline constexpr std::size_t kStreamCopies = 2;
//! Routers that are asked for a record. More than hold copies, as a router that
//! joined moves the holders back by one place.
inline constexpr std::size_t kStreamRoutersAsked = 4;
//! Time after which a lookup ends without an answer: the caller waits for it.
inline constexpr base::Duration kStreamLookupTimeout = 150ms;
//! Interval at which queries are repeated, as datagrams may be lost.
inline constexpr base::Duration kStreamQueryInterval = 40ms;
//! Lifetime of the record of a stream whose caller stated no deadline.
inline constexpr base::Duration kDefaultStreamRecordLifetime = 60000ms;
//! Added to the time that a caller waits: it may see its time run out later
//! than this router.
inline constexpr base::Duration kStreamRecordMargin = 1000ms;
inline constexpr base::Duration kMaxStreamRecordLifetime = 600000ms;
//! Longest time between two confirmations of the upstream list after which it
//! still shows every upstream that has served: one stays listed for longer.
inline constexpr base::Duration kMaxListProofGap = 2500ms;
//! Added to a route's timeout for how long ago the previous request of a stream
//! may have been sent: callers pause before they resume, and routers that are
//! cut off from the store use older lists.
inline constexpr base::Duration kOnlyVersionMargin = 15000ms;
//! Greatest number of records at a router: some 7 MB.
inline constexpr std::size_t kMaxStreamRecords = 65536;
//! Records that fit into one packet.
inline constexpr std::size_t kMaxStreamRecordsPerDatagram = 48;

//! Limit of the entries of PrefixMap if the memory of the host is not known.
inline constexpr std::size_t kDefaultMaxPrefixHolders = 32768;

}
