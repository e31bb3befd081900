#pragma once

#include "fleet/admission.h"
#include "fleet/calllevels.h"
#include "fleet/callrates.h"
#include "fleet/evacuations.h"
#include "fleet/fairshare.h"
#include "fleet/fleettypes.h"
#include "fleet/forecasterror.h"
#include "fleet/freshness.h"
#include "fleet/membership.h"
#include "fleet/memoryuse.h"
#include "fleet/passlevel.h"
#include "fleet/peerview.h"
#include "fleet/placement.h"
#include "fleet/prefixmap.h"
#include "fleet/readingqueue.h"
#include "fleet/readrate.h"
#include "fleet/retrypolicy.h"
#include "fleet/routetable.h"
#include "fleet/servicetime.h"
#include "fleet/suitability.h"
#include "fleet/upstreamhealth.h"
#include "fleet/upstreamlist.h"
#include "fleet/warmup.h"
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

//! The bounds and sizes that this router was told.
struct FleetSettings
{
  std::string router;
  std::string zone;
  std::uint64_t life = 0;
  PlacementKind placement = PlacementKind::PrefixAffinity;
  Duration revocationBound{}; //!< 0: withdrawn keys have no bound
  Duration lapseAfter{ 2400 };
  double retryRatio = 0.2;
  double retrySlack = 20;
  Duration retryWindow{ 10000 };
  ColdLimit coldLimit{};
  //! By availability zone; one that isn't named lies in no region.
  std::map<std::string, std::string> regionOfZone{};
};

//! A request that looks for a place.
struct PlaceRequest
{
  const Route* route = nullptr;
  const Work* work = nullptr;
  std::string service;
  WorkspaceId workspace{};
  //! Where requests of its workspace may run; none: anywhere.
  const std::vector<std::string>* workspaceRegions = nullptr;
  std::uint64_t key = 0; //!< differs between requests
  RequestFingerprint fingerprint{};
  Duration waited{};
  Duration timeLeft{};
  std::vector<UpstreamId> avoid; //!< tried already
  bool admitted = false;         //!< was taken before; only its place is sought
  //! How long this router has had something to do without a rest.
  Duration busyFor{};
};

enum class PlaceOutcome : std::uint8_t
{
  Placed,
  Refused,     //!< could not be answered in time
  Quarantined, //!< upstreams crash under it
  NoUpstream   //!< none of the service may get work
};
inline constexpr auto kPlaceOutcomeNames =
  base::MakeEnumNames<PlaceOutcome>("placed",
                                    "refused",
                                    "quarantined",
                                    "no-upstream");

using AttemptId = std::uint64_t;

//! Where a request goes, or why not, with what decided it.
struct PlaceResult
{
  PlaceOutcome outcome = PlaceOutcome::NoUpstream;
  AttemptId attempt = 0;
  std::string upstreamId;
  base::Address address;
  UpstreamId upstream{};
  Duration retryAfter{};
  //! Why no upstream of its service may get it, of the one that is nearest to
  //! getting work; Fits where there is one.
  Suitability suitability = Suitability::Unlisted;
  double foreseenMs = 0;
  double unreadTokens = 0;
  double missingTokens = 0;
  //! Where the upstream gets copiedTokens of the prompt from instead of
  //! reading them; port 0: nowhere.
  base::Address copyFrom;
  double copiedTokens = 0;
  std::uint32_t running = 0;
  std::size_t crashes = 0; //!< upstreams that crashed under the request
  int rank = 0;
  bool sameZone = false; //!< the upstream is in this router's zone
  bool insideShare = true;
  bool insidePromise = true;   //!< see AdmissionInput
  bool starved = false;        //!< see AdmissionInput
  bool passesLevel = true;     //!< see PassLevel
  bool passesCallLevel = true; //!< see PassingPart
  bool routerBusy = false;     //!< refused for that, before a place was sought
  double excess = 0;           //!< see AdmissionInput
  WorkspaceRate rate;          //!< of its workspace, as the fleet knows it
  double mostBegun = 0;        //!< of any workspace, as the fleet knows it
  //! Its workspace gets far less than the one that gets most, and asks more.
  bool farBehind = false;
  Duration peersAge{}; //!< since the oldest report that counts came
  Duration loadAge{};  //!< of the loads of others, in the mean

  //! Whether it goes before what others get beyond their shares.
  bool IsOwed() const { return insideShare || (farBehind && passesLevel); }
  //! Whether it is worth a look beyond the engines of its prefix.
  bool IsPromised() const { return IsOwed() || insidePromise; }
};

enum class AttemptEnd : std::uint8_t
{
  Answered,
  AnsweredFailure, //!< the upstream's own failure
  Refused,         //!< the upstream did not run it
  Unreachable,     //!< takes no connection
  Broken,          //!< reset, closed, wrong bytes
  CallerGone
};
inline constexpr auto kAttemptEndNames =
  base::MakeEnumNames<AttemptEnd>("answered",
                                  "answered-failure",
                                  "refused",
                                  "unreachable",
                                  "broken",
                                  "caller-gone");

//! An upstream whose connections broke under requests.
struct UpstreamToCheck
{
  UpstreamId upstream{};
  base::Address address;
};

//! What a look at one has told.
struct CheckNotice
{
  std::string upstream;
  quarantine::CheckResult result = quarantine::CheckResult::Unknown;
  std::size_t runsBroken = 0; //!< requests that it did not end
};

//! Everything that is decided about requests: no socket, clock, thread or
//! file; time is told in each call. One object a router, one thread.
class Fleet
{
public:
  explicit Fleet(const FleetSettings& aSettings);

  //! Takes over the bounds; who and where this router is stays.
  void Reconfigure(const FleetSettings& aSettings);

  // ---- what the platform says
  //! Returns false for a version that is not newer: nothing goes back.
  bool SetConfig(ConfigPtr aConfig);
  const RouteTable* Routes() const { return m_routes.get(); }
  std::uint64_t ConfigVersion() const;
  //! Whether no other router told a newer version than the one in force.
  bool KnowsNewestConfig() const
  {
    return ConfigVersion() >= m_newestConfigTold;
  }
  UpstreamList& Upstreams() { return m_list; }
  const UpstreamList& Upstreams() const { return m_list; }
  //! To be called after each change of the list or of the evacuations.
  void FollowUpstreams(TimePoint aNow);
  Evacuations& Evacuated() { return m_evacuations; }
  const Evacuations& Evacuated() const { return m_evacuations; }
  std::size_t UpstreamsOfZone(const std::string& aZone) const;
  Freshness& ConfigFreshness() { return m_freshness; }
  const Freshness& ConfigFreshness() const { return m_freshness; }

  // ---- requests
  //! Counts what a workspace asks, once for each request.
  void Arrived(const PlaceRequest& aRequest, TimePoint aNow);
  PlaceResult Place(const PlaceRequest& aRequest, TimePoint aNow);
  void FirstToken(AttemptId aAttempt, TimePoint aNow);
  //! Returns true if this end takes its upstream out for a while.
  bool Ended(AttemptId aAttempt, AttemptEnd aEnd, TimePoint aNow);
  RetryBudget& Retries() { return m_retries; }
  // ---- requests under which upstreams crash
  //! Upstreams to be looked at now, whether they still listen; the result of
  //! each is to be told by Checked.
  std::vector<UpstreamToCheck> UpstreamsToCheck(TimePoint aNow);
  CheckNotice Checked(UpstreamId aUpstream,
                      quarantine::CheckResult aResult,
                      TimePoint aNow);
  //! What a router should know that has just started.
  quarantine::CrashNews CrashNewsForStart(TimePoint aNow)
  {
    return m_quarantine.TellInTurn(aNow);
  }
  const quarantine::Quarantine& Quarantined() const { return m_quarantine; }
  std::vector<quarantine::QuarantineNotice> TakeQuarantineNotices()
  {
    return m_quarantine.TakeNotices();
  }

  // ---- other routers
  void SetPlan(const ExchangePlan& aPlan);
  bool Take(const PeerReport& aReport, TimePoint aNow);
  //! This router's own; to be followed by the sums if it is a hub. aBusyFor:
  //! how long this router has had something to do without a rest.
  PeerReport Tell(Duration aBusyFor, TimePoint aNow);
  //! The sums of what is known now; aOwn: this router's last own report.
  PeerReport TellGroup(const PeerReport& aOwn, TimePoint aNow);
  PeerReport TellZone(const PeerReport& aOwn, TimePoint aNow);
  PeerReport TellFleet(const PeerReport& aOwn, TimePoint aNow);
  const PeerView& Peers() const { return m_peers; }
  //! Part of the fleet's routers that have no rest, this one among them.
  double BusyPart() const;

  void Tick(TimePoint aNow);

  //! For people: one upstream as this router sees it.
  struct UpstreamStatus
  {
    std::string id;
    std::string service;
    bool draining = false;
    bool evacuated = false;
    Duration coldFor{};
    bool ejected = false;
    double unreadTokens = 0; //!< of all routers
    std::uint32_t running = 0;
    double readRate = 0; //!< tokens a ms
    double failurePart = 0;
  };
  std::vector<UpstreamStatus> Status(TimePoint aNow) const;

private:
  struct Upstream
  {
    UpstreamEntry entry;
    bool isEngine = false;
    bool evacuated = false;
    double coldPerSecond = 0; //!< see Service
    TimePoint coldUntil{ TimePoint::min() / 2 };
    ReadRate readRate;
    UpstreamTime time;
    UpstreamHealth health;
    ReadingQueue reading;      //!< sent from here
    std::uint32_t running = 0; //!< sent from here
  };

  struct Attempt
  {
    UpstreamId upstream{};
    RequestFingerprint fingerprint{};
    double tokensAhead = 0; //!< unread there when it was sent, its own too
    double foreseenMs = 0;  //!< to its first token
    double rounds = 1;      //!< see Candidate
    TimePoint sentAt{};
    bool waitsForFirst = true;
  };

  Suitability SuitabilityOf(const PlaceRequest& aRequest,
                            UpstreamId aId,
                            const Upstream& aUpstream,
                            TimePoint aNow) const;
  //! Whether it may get anything new at all.
  bool TakesWork(const Upstream& aUpstream, TimePoint aNow) const;
  bool IsCold(const Upstream& aUpstream, TimePoint aNow) const;
  Duration UntilWarm(const PlaceRequest& aRequest, TimePoint aNow) const;
  std::vector<UpstreamId> Eligible(const PlaceRequest& aRequest,
                                   PlaceResult& aResult,
                                   TimePoint aNow) const;
  void FollowServices();
  const Service* FindService(const std::string& aName) const;
  std::vector<PrefixHolder> HoldersFor(const PlaceRequest& aRequest,
                                       TimePoint aNow) const;
  Candidate MakeCandidate(const PlaceRequest& aRequest,
                          UpstreamId aUpstream,
                          const std::vector<PrefixHolder>& aHolders,
                          TimePoint aNow) const;
  UnseenLoad Unseen(const PlaceRequest& aRequest,
                    const std::vector<Candidate>& aCandidates,
                    TimePoint aNow) const;
  void SetCallLevels(TimePoint aNow);
  void FindLeastMemory();
  std::vector<Candidate> Candidates(const PlaceRequest& aRequest,
                                    std::vector<UpstreamId> aEligible,
                                    const std::vector<PrefixHolder>& aHolders,
                                    const PlacementPolicy& aPolicy,
                                    std::uint64_t aKey,
                                    TimePoint aNow) const;
  bool Withhold(const PlaceRequest& aRequest,
                PlaceResult& aResult,
                TimePoint aNow) const;
  PlaceResult Entitlement(const PlaceRequest& aRequest, TimePoint aNow);
  double ReadingCapacity(TimePoint aNow) const;
  double Room(double aBegun, TimePoint aNow) const;
  void SetLevels(TimePoint aNow);
  void AgePrefixes(TimePoint aNow);
  double KeptPrompts(double aRunning) const;
  bool FitsMemory(const Work& aWork) const;
  void TakeProof(const PeerReport& aReport);
  void KeepUses(const PeerReport& aReport);
  PeerReport Renewed(const PeerReport& aOwn, TimePoint aNow) const;
  Admission Judge(const PlaceRequest& aRequest,
                  const Candidate& aCandidate,
                  const UnseenLoad& aUnseen,
                  const PlaceResult& aResult) const;
  WorkspaceRate RateOf(WorkspaceId aWorkspace) const;
  bool IsStarved(WorkspaceId aWorkspace) const;
  AttemptId Begin(const PlaceRequest& aRequest,
                  UpstreamId aUpstream,
                  const Candidate& aCandidate,
                  TimePoint aNow);
  void CountAnswer(const Upstream& aUpstream, TimePoint aNow);
  bool MayEject(const Upstream& aUpstream, TimePoint aNow) const;
  Upstream* Find(UpstreamId aUpstream);
  void EndReading(Upstream* aUpstream, AttemptId aId, Attempt& aAttempt);

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
  std::optional<TimePoint> m_agedAt; //!< m_prefixes
  double m_leastMemory = 0;          //!< of any service's engines; 0: not said
  MemoryUse m_memoryUse;
  DemandMeter m_demand;
  CallMeter m_calls;
  CallLevels m_callLevels;
  WorkspaceRates m_fleetRates;
  double m_shareLevel;       //!< the most that a workspace is owed
  double m_promisedLevel;    //!< the same by what is promised alone
  double m_mostBegun = 0;    //!< of any workspace
  bool m_othersWait = false; //!< see AdmissionInput
  double m_excessLevel; //!< the most if all that is served were split alike
  PassLevel m_passLevel;
  ForecastError m_forecastError;
  bool m_newsIsOld = false; //!< reports come through hubs
  std::uint64_t m_group = 0;
  bool m_sumsUp = false;                //!< for others: see ExchangePlan
  bool m_speaksForZone = false;         //!< see ExchangePlan
  std::vector<PrefixUse> m_usesHere;    //!< since the last report
  std::vector<PrefixUse> m_usesOfGroup; //!< since the last group sum
  std::vector<PrefixUse> m_usesOfZone;  //!< since the last zone sum
  std::vector<PrefixUse> m_usesOfFleet; //!< since the last fleet sum
  std::map<UpstreamId, Upstream> m_upstreams;
  std::map<std::string, ServiceTime> m_serviceTimes;
  std::unordered_map<AttemptId, Attempt> m_attempts;
  AttemptId m_nextAttempt = 1;
  std::uint64_t m_reportSequence = 0;
  std::uint64_t m_newestConfigTold = 0; //!< by other routers
};

}
