#pragma once

#include "eventloop/eventloop.h"
#include "soak/chaosproxy.h"
#include "soak/childprocess.h"
#include "soak/crashchecker.h"
#include "soak/crashingcaller.h"
#include "soak/guarantees.h"
#include "soak/oddcallers.h"
#include "soak/signalchecker.h"
#include "soak/soakcaller.h"
#include "soak/soakplan.h"
#include "soak/spoilchecker.h"
#include "soak/upstreamfaultchooser.h"
#include "soak/zonechecker.h"
#include "standins/storestandin.h"
#include "standins/upstreamstandin.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::soak {

//! One seeded soak run: real routers in child processes, stand-ins for the
//! store and the upstreams behind fault-injecting proxies, callers, and checks
//! of the guarantees.
class SoakRun
{
public:
  //! aPort: the first of a hundred free ports on loopback.
  SoakRun(const SoakSettings& aSettings,
          const std::string& aRouterProgram,
          const std::string& aDirectory,
          std::uint16_t aPort);
  ~SoakRun();

  //! Runs the whole plan; returns whether no guarantee was violated.
  bool Run();
  //! Readable report: settings, latencies, guarantees and, by second, outcomes
  //! and faults.
  std::string Report() const;

private:
  static constexpr std::size_t kMaxUpstreams =
    36; //!< as many ports are reserved

  struct Upstream
  {
    std::string id;
    std::uint32_t index = 0;
    std::string zone;
    std::string softwareVersion; //!< empty: v1, which its events do not name
    std::unique_ptr<standins::UpstreamStandin> worker;
    std::unique_ptr<ChaosProxy> proxy;
    base::TimePoint leftAt{};    //!< 0: ready in the store
    base::TimePoint crashedAt{}; //!< 0: has not crashed
    bool replaced = false; //!< another upstream was started after the crash
    bool asksForPauses = false; //!< refuses requests with Retry-After
    bool spoilsAll = false;     //!< no answer is right
  };

  struct Router
  {
    std::unique_ptr<ChildProcess> process;
    base::TimePoint startAt{}; //!< time of the next start; 0 if none is due
    bool stopping = false;
    bool toldToEnd = false;     //!< got a signal that ends it
    bool faultFreeStop = false; //!< no recent fault when the stop was requested
  };

  base::Address LocalAddress(int aOffset) const;
  void WriteSettings(std::uint32_t aRouter);
  void AddUpstream(std::uint32_t aIndex, base::Duration aColdFor = {});
  void PutEntry(const Upstream& aUpstream,
                bool aDraining,
                base::Duration aColdFor = {});
  void UpdateWarmUpstreams(base::TimePoint aNow);
  void BeginZoneFault(const Fault& aFault);
  void BeginSignalFault(const Fault& aFault);
  void BeginVersionFault(const Fault& aFault);
  std::string VersionOfNew(std::uint32_t aIndex) const;
  void EndSignalFault(const Fault& aFault);
  void BeginSpoil(const Fault& aFault);
  void EndSpoil(const Fault& aFault);
  Upstream& NewestUpstream(std::uint32_t aIndex);
  standins::UpstreamFault ChooseFault(const Upstream& aUpstream,
                                      const standins::UpstreamRun& aRun);
  void SetEvacuated(std::uint32_t aZone, bool aEvacuated);
  void WriteToStore(std::function<void()> aWrite);
  void UpdateStoreCopies(base::TimePoint aNow);
  void PutConfig();
  void Tick();
  void BeginFault(const Fault& aFault);
  void EndFault(const Fault& aFault);
  void BeginRouterFault(const Fault& aFault);
  void BeginUpstreamFault(const Fault& aFault);
  void BeginStoreFault(const Fault& aFault);
  void RestartRouters(base::TimePoint aNow);
  void EnforceMemoryLimit(std::size_t aRouter);
  bool HasFreePorts() const { return m_upstreams.size() < kMaxUpstreams; }
  void HandleCrashes(base::TimePoint aNow);
  void HandleCrash(std::size_t aUpstream, base::TimePoint aNow);
  void OnRun(const Upstream& aUpstream, const standins::UpstreamRun& aRun);
  void TickOddCallers(base::TimePoint aNow);
  void RunUntil(base::TimePoint aUntil);
  void CheckGracefulStop();
  void CheckStreamsGoOn();
  void CheckSharersBegin();
  bool HasNoRecentFault() const;

  SoakSettings m_settings;
  std::string m_directory;
  std::uint16_t m_port;
  eventloop::EventLoop m_loop;
  GuaranteeChecker m_guarantees;
  SignalChecker m_signalChecks{ m_guarantees };
  SpoilChecker m_spoilChecks{ m_guarantees };
  UpstreamFaultChooser m_faultChooser{ m_settings };
  std::uint32_t m_oddEntries = 0;
  std::vector<Fault> m_plan;
  std::size_t m_nextFault = 0;
  std::vector<std::pair<base::TimePoint, Fault>> m_activeFaults;
  base::TimePoint m_lastFaultAt{};
  standins::StoreStandin m_store;
  std::unique_ptr<ChaosProxy> m_storeProxy;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  std::vector<Router> m_routers;
  CallerShared m_shared;
  std::vector<std::unique_ptr<SoakCaller>> m_callers;
  CrashingCaller m_crashingCaller;
  CrashingCaller m_crashingPartCaller;
  OddCallers m_oddCallers;
  CrashChecker m_crashChecks{ m_guarantees };
  //! Writes since the store's last copy; repeated after a restore.
  std::vector<std::function<void()>> m_writesSinceCopy;
  base::TimePoint m_copiedAt{};
  std::optional<base::TimePoint> m_rewriteAt;
  std::uint64_t m_configVersion = 0;
  std::uint32_t m_keyNumber = 0;
  std::map<std::uint32_t, std::uint32_t>
    m_versionOf; //!< number of an engine's software version, by index
  std::uint32_t m_releases = 0;
  ZoneChecker m_zoneChecks{ m_guarantees };
  std::array<int, kSoakZones> m_evacuations{}; //!< active evacuations by zone
  std::map<std::string, base::TimePoint>
    m_warmAt; //!< end of the cold time, by upstream
  std::map<std::string, base::TimePoint>
    m_revokedAt; //!< time of revocation, by workspace of the key
};

}
