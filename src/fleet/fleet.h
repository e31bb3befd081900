#pragma once

#include "fleet/admission.h"
#include "fleet/callrates.h"
#include "fleet/callthrottle.h"
#include "fleet/entitlementclass.h"
#include "fleet/evacuations.h"
#include "fleet/fairshare.h"
#include "fleet/fleettypes.h"
#include "fleet/forecasterror.h"
#include "fleet/freshness.h"
#include "fleet/kvcacheuse.h"
#include "fleet/membership.h"
#include "fleet/peerview.h"
#include "fleet/placement.h"
#include "fleet/prefixmap.h"
#include "fleet/retrypolicy.h"
#include "fleet/returnschedule.h"
#include "fleet/routetable.h"
#include "fleet/servicetime.h"
#include "fleet/statedloads.h"
#include "fleet/streamtypes.h"
#include "fleet/suitability.h"
#include "fleet/upstreamlist.h"
#include "fleet/upstreamsignals.h"
#include "fleet/upstreamtable.h"
#include "fleet/versionhistory.h"
#include "fleet/warmup.h"
#include "fleet/workspacethrottle.h"
#include "quarantine/crashchecks.h"
#include "quarantine/quarantine.h"
#include "quarantine/requestfingerprint.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockgauge::fleet {

//! Settings of this router's decision logic.
struct FleetSettings
{
  std::string router;
  std::string zone;
  std::uint64_t incarnation = 0; //!< grows with each start of this router
  PlacementKind placement = PlacementKind::PrefixAffinity;
  //! Time within which a withdrawn key must stop working; 0: no bound.
  Duration revocationBound{};
  //! Outage of the store after which upstreams' entries in it expire.
  Duration entryTtl{ 2400 };
  //! Limits of the fleet's retries, see RetryBudget::Configure.
  double retryRatio = 0.2;
  double retrySlack = 20;
  Duration retryWindow{ 10000 };
  ColdLimit coldLimit{};
  //! See PrefixMap::SetMaxHolders.
  std::size_t maxPrefixHolders = kDefaultMaxPrefixHolders;
  bool usesStatedLoads = false; //!< for placement, see StatedLoads
  bool spreadsRetries = false;  //!< of refused requests, see ReturnSchedule
  //! Regions by availability zone. A zone without an entry is in no region.
  std::map<std::string, std::string> regionOfZone{};
};

//! A request that needs an upstream.
struct PlaceRequest
{
  const Route* route = nullptr;
  const Work* work = nullptr;
  std::string service;
  WorkspaceId workspace{};
  //! Regions in which its workspace's requests may run; null: all.
  const std::vector<std::string>* workspaceRegions = nullptr;
  std::uint64_t key = 0; //!< differs between requests; seeds random draws
  RequestFingerprint fingerprint{};
  Duration waited{};   //!< since its arrival
  Duration timeLeft{}; //!< until its deadline or its route's timeout
  std::vector<UpstreamId>
    triedUpstreams;      //!< upstreams that it was sent to already
  bool admitted = false; //!< admitted before; needs only an upstream
  //! Its workspace's throttle let it pass before it began to wait.
  bool passedThrottle = false;
  //! Version that began the stream which the request goes on with; empty if it
  //! begins one. No upstream fits a stream of an unknown version.
  std::optional<VersionId> streamVersion;

  //! Whether it was admitted before, with this or an earlier request: what has
  //! been generated of a stream is lost if it can't go on.
  bool WasAdmitted() const { return admitted || streamVersion.has_value(); }
  //! Time since this router's event loop was last idle.
  Duration busyFor{};
};

//! Result of the decision about a request.
enum class PlaceOutcome : std::uint8_t
{
  Placed,
  Refused,     //!< would not be answered in time
  Quarantined, //!< upstreams crashed while they ran it
  NoUpstream   //!< no upstream of the service is eligible
};
inline constexpr auto kPlaceOutcomeNames =
  base::MakeEnumNames<PlaceOutcome>("placed",
                                    "refused",
                                    "quarantined",
                                    "no-upstream");

using AttemptId = std::uint64_t;

//! The upstream chosen for a request or the reason why there is none, and the
//! values that the decision was based on.
struct PlaceResult
{
  PlaceOutcome outcome = PlaceOutcome::NoUpstream;
  AttemptId attempt = 0;
  std::string upstreamId;
  std::string softwareVersion; //!< of the upstream; empty if unknown
  base::Address address;
  UpstreamId upstream{};
  Duration retryAfter{};
  //! Set if the request was refused only because the engines' queues are full:
  //! until when it may wait in the router and be placed again, see GiveUpAt.
  std::optional<TimePoint> mayWaitUntil;
  //! Best suitability over all upstreams; Fits if any upstream is eligible.
  Suitability suitability = Suitability::Unlisted;
  double predictedMs = 0;   //!< until the first token or the answer
  double unreadTokens = 0;  //!< still to be prefilled there for other requests
  double missingTokens = 0; //!< of the prompt, to be prefilled there
  //! Upstream that copiedTokens of the prompt are copied from instead of being
  //! prefilled; port 0: none.
  base::Address copyFrom;
  double copiedTokens = 0;
  std::uint32_t running = 0; //!< requests at the upstream, of all routers
  std::size_t crashes = 0;   //!< upstreams that crashed while they ran it
  quarantine::QuarantineDecision quarantine; //!< see Quarantine::Decide
  int rank = 0;                   //!< of the upstream in the prefix's order
  bool sameZone = false;          //!< the upstream is in this router's zone
  bool insideShare = true;        //!< see AdmissionInput
  bool insideNominalShare = true; //!< see AdmissionInput
  bool starved = false;           //!< see AdmissionInput
  bool passesThrottle = true;     //!< see WorkspaceThrottle
  bool passesCallThrottle = true; //!< see AdmittedRatio
  bool routerBusy = false;        //!< refused since this router is busy
  double excess = 0;              //!< see AdmissionInput
  WorkspaceRate rate;             //!< of its workspace, over the fleet
  double maxAdmittedRate = 0;     //!< greatest admitted rate of any workspace
  //! Its workspace gets less than kFarBehindRatio of what the best served
  //! workspace gets, while demand is left unmet.
  bool farBehind = false;
  Duration maxReportAge{}; //!< age of the oldest report that is in use
  Duration loadAge{};      //!< mean age of the other routers' loads

  //! Whether it takes precedence over requests beyond their workspaces' shares.
  bool IsEntitled() const
  {
    return insideShare || (farBehind && passesThrottle);
  }
  //! Whether engines beyond those of its prefix are tried before it is refused.
  bool IsNominallyEntitled() const
  {
    return IsEntitled() || insideNominalShare;
  }
  EntitlementClass Entitlement() const
  {
    if (IsEntitled()) {
      return EntitlementClass::Entitled;
    }
    return insideNominalShare ? EntitlementClass::Nominal
                              : EntitlementClass::Beyond;
  }
};

//! How an attempt to run a request at an upstream ended.
enum class AttemptOutcome : std::uint8_t
{
  Answered,
  AnsweredByClose, //!< the same, but only the end of its connection ended it
  AnsweredFailure, //!< the upstream answered that it failed
  Refused,         //!< the upstream did not run it
  Unreachable,     //!< the upstream accepted no connection
  Broken,          //!< connection reset or closed, or a malformed answer
  CallerGone       //!< the caller closed its connection
};
inline constexpr auto kAttemptOutcomeNames =
  base::MakeEnumNames<AttemptOutcome>("answered",
                                      "answered-by-close",
                                      "answered-failure",
                                      "refused",
                                      "unreachable",
                                      "broken",
                                      "caller-gone");

//! An upstream whose connections broke while it ran requests. A check decides
//! whether it crashed.
struct UpstreamToCheck
{
  UpstreamId upstream{};
  base::Address address;
};

//! Result of a check of an upstream.
struct CheckNotice
{
  std::string upstream; //!< its id; empty if it is no longer listed
  quarantine::CheckResult result = quarantine::CheckResult::Unknown;
  std::vector<quarantine::UncheckedRun> runs; //!< that waited for the check
};

//! Decides about requests: admission, placement, retries and quarantine. Uses
//! no sockets, clocks, threads or files; callers pass the time. A router has
//! one object, which must be used by one thread only.
class Fleet
{
public:
  explicit Fleet(const FleetSettings& aSettings);

  //! Applies changed limits. The router's name, zone, incarnation and placement
  //! policy stay as they are.
  void Reconfigure(const FleetSettings& aSettings);

  // ---- state of the platform
  //! Applies a configuration. Returns false and ignores it if its version is
  //! not newer than the one in force.
  bool SetConfig(ConfigPtr aConfig);
  const RouteTable* Routes() const { return m_routes.get(); }
  std::uint64_t ConfigVersion() const;
  //! Whether no other router reported a newer version than the one in force.
  bool KnowsNewestConfig() const
  {
    return ConfigVersion() >= m_newestReportedConfig;
  }
  UpstreamList& Upstreams() { return m_list; }
  const UpstreamList& Upstreams() const { return m_list; }
  //! Applies what changed in Upstreams() and Evacuated(); must be called after
  //! each change. Returns the changed entries.
  std::vector<EntryUpdate> UpdateUpstreams(TimePoint aNow);
  //! Records that the store confirmed Upstreams() as of aAt.
  void RecordListProof(TimePoint aAt) { m_versions.RecordProof(aAt); }
  Evacuations& Evacuated() { return m_evacuations; }
  const Evacuations& Evacuated() const { return m_evacuations; }
  std::size_t CountUpstreamsInZone(const std::string& aZone) const;
  //! See UpstreamTable::Examined.
  std::uint64_t UpstreamsExamined() const { return m_upstreams.Examined(); }
  Freshness& ConfigFreshness() { return m_freshness; }
  const Freshness& ConfigFreshness() const { return m_freshness; }

  // ---- requests
  //! Counts a request as demand. Must be called once per request.
  void CountArrival(const PlaceRequest& aRequest, TimePoint aNow);
  //! Decides whether a request is admitted and which upstream it is sent to. If
  //! the outcome is Placed, an attempt starts, for which EndAttempt must be
  //! called.
  PlaceResult Place(const PlaceRequest& aRequest, TimePoint aNow);
  //! Time until an upstream may get the request: 0 if one may get it now,
  //! Duration::max() if waiting does not help.
  Duration TimeUntilEligible(const PlaceRequest& aRequest,
                             TimePoint aNow) const;
  //! Version of the upstream that runs an attempt. Unknown if its entry shows
  //! another incarnation than when the request was sent, as either may have
  //! got the request.
  VersionId VersionOf(AttemptId aAttempt) const;
  //! The version that began all streams of a route's requests which may still
  //! be resumed; empty if there may be several.
  std::optional<VersionId> OnlyVersion(const Route& aRoute,
                                       const std::string& aService,
                                       TimePoint aNow) const
  {
    return m_versions.OnlyVersion(
      aService, aRoute.timeout + kOnlyVersionMargin, aNow);
  }
  //! Name of a version, for logs; its hash if no upstream of the service has
  //! it, empty if it is unknown.
  std::string NameOfVersion(const std::string& aService,
                            VersionId aVersion) const;
  //! Records that tokens of an attempt's answer arrived.
  void RecordTokens(AttemptId aAttempt, TimePoint aNow);
  //! Records what an attempt's upstream stated about itself in an answer. aNow:
  //! not before the upstream sent the answer.
  SignalChange RecordSignals(AttemptId aAttempt,
                             const AnswerSignals& aSignals,
                             TimePoint aNow);
  const UpstreamSignals& Signals() const { return m_signals; }
  //! Records the load that an attempt's upstream stated in an answer. Must be
  //! called before EndAttempt. Returns false if it can't be true.
  bool RecordLoad(AttemptId aAttempt, const StatedLoad& aLoad, TimePoint aNow);
  const StatedLoads& Stated() const { return m_statedLoads; }
  //! Cost of the refused requests, in tokens and calls, that were told to retry
  //! at a time still to come.
  ScheduledCost ScheduledRetries(TimePoint aNow) const;
  //! Records the end of an attempt. Returns true if it ejects the upstream.
  bool EndAttempt(AttemptId aAttempt, AttemptOutcome aEnd, TimePoint aNow);
  RetryBudget& Retries() { return m_retries; }
  // ---- requests that crash upstreams
  //! Upstreams to check now, whether they still listen. RecordCheck must be
  //! called with the result of each.
  std::vector<UpstreamToCheck> UpstreamsToCheck(TimePoint aNow);
  //! Records the result of a check. If the upstream crashed, the crash counts
  //! for each request whose connection to it broke.
  CheckNotice RecordCheck(UpstreamId aUpstream,
                          quarantine::CheckResult aResult,
                          TimePoint aNow);
  //! Crash reports for a router that has just started: all quarantined requests
  //! and some of the suspected ones.
  quarantine::CrashUpdates CrashUpdatesForStart(TimePoint aNow)
  {
    return m_quarantine.NextCrashRefresh(aNow);
  }
  const quarantine::Quarantine& Quarantined() const { return m_quarantine; }
  std::vector<quarantine::QuarantineNotice> TakeQuarantineNotices()
  {
    return m_quarantine.TakeNotices();
  }

  // ---- other routers
  //! Applies this router's role in the exchange of reports.
  void SetPlan(const ExchangePlan& aPlan);
  //! Applies a report of another router. Returns false if it is outdated; then
  //! only its crash reports and its configuration version are used.
  bool ApplyReport(const PeerReport& aReport, TimePoint aNow);
  //! Makes this router's own report. A hub sends its sums afterwards. aBusyFor:
  //! time since this router's event loop was last idle.
  PeerReport MakeReport(Duration aBusyFor, TimePoint aNow);
  //! Makes a report with the sum of all reports of the group, the zone or the
  //! fleet. aOwn: this router's last own report.
  PeerReport MakeGroupReport(const PeerReport& aOwn, TimePoint aNow);
  PeerReport MakeZoneReport(const PeerReport& aOwn, TimePoint aNow);
  PeerReport MakeFleetReport(const PeerReport& aOwn, TimePoint aNow);
  const PeerView& Peers() const { return m_peers; }
  //! Ratio of the fleet's routers that are busy. Counts this router as busy.
  double BusyRatio() const;

  //! Updates limits and drops outdated state. Must be called once per
  //! kReportInterval.
  void Tick(TimePoint aNow);

  //! An upstream as this router sees it, for status pages.
  struct UpstreamStatus
  {
    std::string id;
    std::string service;
    std::string softwareVersion;
    bool draining = false; //!< according to its entry
    bool leaving = false;  //!< according to its answers
    bool evacuated = false;
    Duration coldFor{};
    Duration pausedFor{}; //!< it wants no requests from this router
    bool ejected = false;
    double unreadTokens = 0;      //!< still to be prefilled, of all routers
    std::uint32_t running = 0;    //!< requests of all routers
    double prefillRate = 0;       //!< prefill speed in tokens per ms
    double fixedFirstTokenMs = 0; //!< of a first token, besides prefill
    double failureRatio = 0;      //!< of its answers, 0 to 1
  };
  std::vector<UpstreamStatus> Status(TimePoint aNow) const;

private:
  struct Attempt
  {
    UpstreamId upstream{};
    UpstreamEntryPtr entry; //!< of the upstream when the request was sent
    RequestFingerprint fingerprint{};
    //! Tokens to be prefilled at the upstream before its first token, those of
    //! its own prompt included.
    double tokensAhead = 0;
    double predictedMs = 0; //!< until its first token
    double rounds = 1;      //!< see Candidate::Rounds
    TimePoint sentAt{};
    bool awaitsFirstToken = true;
    std::vector<quarantine::PromptPartId> parts; //!< see Work::SharedParts
    TimePoint firstTokenAt{};                    //!< if it has arrived
    TimePoint lastTokenAt{};
    bool hasProvenParts = false; //!< see UncheckedRun::HasProvenParts

    //! Counted as admitted when it was sent; 0 if it was not.
    double admittedCost = 0;
    double admittedPrefill = 0;
    WorkspaceId workspace{};

    quarantine::UncheckedRun ToUncheckedRun() const;
  };

  //! Number of requests of all routers at an upstream.
  std::uint32_t RunningAt(UpstreamId aId, const Upstream& aUpstream) const
  {
    return aUpstream.running + m_peers.LoadOf(aId).running;
  }
  void ApplySignals(const UpstreamEntry& aEntry, TimePoint aNow);
  void SweepSignals(TimePoint aNow);
  Suitability SuitabilityOf(const PlaceRequest& aRequest,
                            UpstreamId aId,
                            const Upstream& aUpstream,
                            TimePoint aNow) const;
  //! Whether a stream that may be resumed should not begin at the upstream yet,
  //! see VersionHistory.
  Duration TooNewForStreamFor(const PlaceRequest& aRequest,
                              const Upstream& aUpstream,
                              TimePoint aNow) const;
  std::vector<UpstreamId> EligibleUpstreams(const PlaceRequest& aRequest,
                                            const PlacementPolicy& aPolicy,
                                            std::uint64_t aKey,
                                            PlaceResult& aResult,
                                            TimePoint aNow) const;
  const Service* FindService(const std::string& aName) const;
  std::vector<PrefixHolder> FindPrefixHolders(const PlaceRequest& aRequest,
                                              TimePoint aNow) const;
  Candidate MakeCandidate(const PlaceRequest& aRequest,
                          UpstreamId aUpstream,
                          const std::vector<PrefixHolder>& aHolders,
                          TimePoint aNow) const;
  UnseenLoad EstimateUnreportedLoad(const PlaceRequest& aRequest,
                                    const std::vector<Candidate>& aCandidates,
                                    TimePoint aNow) const;
  template<typename Visit>
  void VisitBusyUpstreams(Visit aVisit) const;
  std::map<ServiceId, ServiceSlots> CountPlainSlots(TimePoint aNow) const;
  void UpdateCallThrottle(TimePoint aNow);
  void UpdateSmallestKvCache();
  std::vector<Candidate> MakeCandidates(
    const PlaceRequest& aRequest,
    const std::vector<PrefixHolder>& aHolders,
    const PlacementPolicy& aPolicy,
    std::uint64_t aKey,
    PlaceResult& aResult,
    TimePoint aNow) const;
  bool IsQuarantined(const PlaceRequest& aRequest,
                     PlaceResult& aResult,
                     TimePoint aNow) const;
  PlaceResult EvaluateEntitlement(const PlaceRequest& aRequest, TimePoint aNow);
  double PrefillCapacity() const;
  double AdmissionCapacity(double aAdmittedRate) const;
  void UpdateFairShares();
  void AgePrefixCache(TimePoint aNow);
  double PromptCacheTokens(double aRunning) const;
  bool FitsKvCache(const Work& aWork) const;
  void ApplyConfigProof(const PeerReport& aReport);
  void CollectUses(const PeerReport& aReport);
  bool IsQuiet(const UpstreamLoad& aLoad) const;
  PeerReport WithCurrentAges(const PeerReport& aOwn, TimePoint aNow) const;
  Admission DecideAdmission(const PlaceRequest& aRequest,
                            const Candidate& aCandidate,
                            const UnseenLoad& aUnseen,
                            const PlaceResult& aResult) const;
  WorkspaceRate RateOf(WorkspaceId aWorkspace) const;
  bool IsStarved(WorkspaceId aWorkspace) const;
  AttemptId StartAttempt(const PlaceRequest& aRequest,
                         UpstreamId aUpstream,
                         const Candidate& aCandidate,
                         TimePoint aNow);
  void CountAnswer(const Upstream& aUpstream, TimePoint aNow);
  void RecordEvidence(const Attempt& aAttempt,
                      AttemptOutcome aEnd,
                      TimePoint aNow);
  void RecordProvenParts(Attempt& aAttempt, TimePoint aNow);
  void RecordPartAnswers(const std::vector<quarantine::PromptPartId>& aParts,
                         TimePoint aNow);
  void RecordCheckedRun(const quarantine::UncheckedRun& aRun,
                        UpstreamId aUpstream,
                        quarantine::CheckResult aResult,
                        TimePoint aNow);
  void TakeBackAdmission(const Attempt& aAttempt, TimePoint aNow);
  void ApplyStatedLoad(Candidate& aCandidate,
                       const Upstream& aUpstream,
                       std::uint32_t aPeersRunning,
                       TimePoint aNow) const;
  Duration RetryAfterOf(const PlaceRequest& aRequest,
                        const PlaceResult& aResult,
                        Duration aEarliest,
                        TimePoint aNow);
  void UpdateRetryRoom(TimePoint aNow);
  void EndPrefill(Upstream* aUpstream, AttemptId aId, Attempt& aAttempt);

  FleetSettings m_settings;
  PlacementPolicy m_policy;
  std::unique_ptr<RouteTable> m_routes;
  UpstreamList m_list;
  Evacuations m_evacuations;
  WarmUp m_warmUp;
  Freshness m_freshness;
  RetryBudget m_retries;
  quarantine::CrashChecks m_crashChecks;
  quarantine::Quarantine m_quarantine;
  PeerView m_peers;
  PrefixMap m_prefixes;
  std::optional<TimePoint> m_prefixesAgedAt; //!< last AgePrefixCache
  //! Smallest KV cache of any service's engines, in tokens; 0: not configured.
  double m_smallestKvCache = 0;
  KvCacheUse m_kvCacheUse;
  DemandMeter m_demandMeter;
  CallMeter m_callMeter;
  CallThrottle m_callThrottle;
  WorkspaceRates m_fleetRates;
  //! Max-min fair share of a workspace, in tokens per second, of the usable
  //! capacity.
  double m_fairShare;
  double m_nominalFairShare;    //!< the same, of the nominal capacity
  double m_maxAdmittedRate = 0; //!< greatest admitted rate of any workspace
  bool m_othersWait = false;    //!< see AdmissionInput
  //! Max-min fair share of all work that is being served.
  double m_servedFairShare;
  WorkspaceThrottle m_workspaceThrottle;
  ForecastError m_forecastError;
  //! Reports arrive through hubs, so they are older than direct ones.
  bool m_isLargeFleet = false;
  std::uint64_t m_group = 0;
  bool m_isSummingHub = false;        //!< makes sums for other routers
  bool m_isZoneSpeaker = false;       //!< exchanges sums with other zones
  std::vector<PrefixUse> m_ownUses;   //!< since the last own report
  std::vector<PrefixUse> m_groupUses; //!< since the last group sum
  std::vector<PrefixUse> m_zoneUses;  //!< since the last zone sum
  std::vector<PrefixUse> m_fleetUses; //!< since the last fleet sum
  UpstreamTable m_upstreams;
  VersionHistory m_versions;
  UpstreamSignals m_signals;
  TimePoint m_signalsSweptAt{};
  StatedLoads m_statedLoads;
  std::map<std::string, ReturnSchedule> m_retryTimes; //!< by service
  std::vector<Evacuation> m_appliedEvacuations;       //!< to m_upstreams
  std::map<std::string, ServiceTime> m_serviceTimes;
  std::unordered_map<AttemptId, Attempt> m_attempts;
  AttemptId m_nextAttempt = 1;
  std::uint64_t m_reportSequence = 0;
  std::uint64_t m_newestReportedConfig = 0; //!< version, by other routers
};

}
