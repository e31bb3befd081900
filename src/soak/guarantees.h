#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlockgauge::soak {

//! Guarantees of the fleet that a soak run checks.
enum class Guarantee : std::uint8_t
{
  CompleteResponse,   //!< a success is the complete response to that request
  StreamInOrder,      //!< stream events come once, in order, also if cut
  NotRunIsAccurate,   //!< a request reported as "not run" never ran
  AtMostOnce,         //!< a non-idempotent request ran at most once
  CorrectWorkspace,   //!< the upstream got the workspace but not the key
  NoWorkForLeaving,   //!< after the bound a draining or removed upstream got no
                      //!< work
  RevokedKeyRejected, //!< after the bound no request ran with a revoked key
  GracefulStop, //!< a planned stop without recent faults aborted no request
  NoWorkInEvacuatedZone,    //!< after the bound an evacuated zone got no work
  ColdUpstreamLimited,      //!< a cold upstream stayed within its rate limit
  CrashingRequestStops,     //!< a request that crashes upstreams is quarantined
  CrashingPartStops,        //!< requests with a prompt part that crashes
                            //!< upstreams are quarantined
  PartSharersBegin,         //!< streams that share another part with these
                            //!< begin at least half as often as others
  NoWorkAfterLeavingAnswer, //!< an upstream that said in an answer that it
                            //!< leaves gets nothing more from that router
  StreamOfOneVersion, //!< a stream's events, over all its requests, are of one
                      //!< software version
  StreamsGoOn,  //!< resumed streams go on at least half as often as new ones
                //!< begin
  PauseIsKept,  //!< an upstream gets nothing within its Retry-After from the
                //!< router that it refused
  EventsOfRuns, //!< each event that a caller gets is one of its run
  SpoiledEngineSpared, //!< an engine that spoils all its answers gets no more
                       //!< requests than a sound one would
  SoundServed, //!< requests without a fault of their own are served while an
               //!< upstream spoils its answers
  MemoryWithinLimit, //!< a router's resident memory stays within its limit
  EndsOnlyWhenTold,  //!< a router ends only by a signal that the run sent
  Recovery           //!< after the last fault requests are served again
};
inline constexpr auto kGuaranteeNames =
  base::MakeEnumNames<Guarantee>("own-whole-answer",
                                 "stream-in-order",
                                 "not-run-is-true",
                                 "at-most-once",
                                 "own-workspace",
                                 "nothing-to-leaving",
                                 "withdrawn-key-stops",
                                 "graceful-stop-cuts-nothing",
                                 "nothing-to-evacuated",
                                 "cold-is-spared",
                                 "crashing-request-stops",
                                 "crashing-part-stops",
                                 "part-sharers-begin",
                                 "nothing-after-leaving-answer",
                                 "stream-of-one-version",
                                 "streams-go-on",
                                 "pause-is-kept",
                                 "events-of-runs",
                                 "spoiled-engine-is-spared",
                                 "sound-requests-served",
                                 "memory-within-limit",
                                 "ends-only-when-told",
                                 "recovery");
inline constexpr std::size_t kGuaranteeCount =
  static_cast<std::size_t>(Guarantee::Recovery) + 1;

//! Counts the checks of each guarantee and records the violations.
class GuaranteeChecker
{
public:
  //! Counts a check of aGuarantee; records aViolation as a violation if
  //! !aHolds.
  void Check(Guarantee aGuarantee, bool aHolds, const std::string& aViolation);
  //! Records that a request ran at an upstream; checks AtMostOnce.
  void RecordRun(const std::string& aId, bool aMayRunAgain, bool aIsResumption);
  //! Records that a caller was told that its request did not run.
  void RecordNotRun(const std::string& aId);
  //! Checks NotRunIsAccurate. Call it once, after the last request has ended.
  void Finish();

  //! Number of checks of a guarantee.
  std::uint64_t CheckCount(Guarantee aGuarantee) const;
  const std::vector<std::string>& Violations() const { return m_violations; }

private:
  std::array<std::uint64_t, kGuaranteeCount> m_checkCounts{};
  std::vector<std::string> m_violations;
  std::map<std::string, int> m_runs;
  std::set<std::string> m_reportedNotRun;
};

}
