#pragma once

#include "eventloop/eventloop.h"
#include "soak/chaosproxy.h"
#include "soak/crashingcaller.h"
#include "soak/promises.h"
#include "soak/routerprocess.h"
#include "soak/soakcaller.h"
#include "soak/soakplan.h"
#include "soak/zonewatch.h"
#include "standins/storestandin.h"
#include "standins/workerstandin.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::soak {

//! One seeded run: real routers as processes, stand-ins of store and
//! upstreams behind proxies, callers, faults, and the promises watched.
class SoakRun
{
public:
  //! aPort: the first of a hundred free ports on loopback.
  SoakRun(const SoakSettings& aSettings,
          const std::string& aRouterProgram,
          const std::string& aDirectory,
          std::uint16_t aPort);
  ~SoakRun();

  //! Returns whether all promises held.
  bool Run();
  //! For a person: plan, promises, latencies, a plot by seconds.
  std::string Report() const;

private:
  static constexpr std::size_t kMostUpstreams = 36; //!< ports there are

  struct Upstream
  {
    std::string id;
    std::uint32_t index = 0;
    std::string zone;
    std::unique_ptr<standins::WorkerStandin> worker;
    std::unique_ptr<ChaosProxy> proxy;
    base::TimePoint leftAt{};    //!< 0: listed
    base::TimePoint crashedAt{}; //!< 0: it runs
    bool replaced = false;       //!< after a crash
  };

  struct Router
  {
    std::unique_ptr<RouterProcess> process;
    base::TimePoint startAt{}; //!< 0: it runs
    bool stopping = false;
    bool calmStop = false; //!< no fault lately when it was told to stop
  };

  base::Address At(int aOffset) const;
  void WriteSettings(std::uint32_t aRouter);
  void AddUpstream(std::uint32_t aIndex, base::Duration aColdFor = {});
  void List(const Upstream& aUpstream,
            bool aDraining,
            base::Duration aColdFor = {});
  void FollowCold(base::TimePoint aNow);
  void BeginZoneFault(const Fault& aFault);
  void SetEvacuated(std::uint32_t aZone, bool aEvacuated);
  void Write(std::function<void()> aWrite);
  void FollowCopies(base::TimePoint aNow);
  void PutConfig();
  void Tick();
  void Begin(const Fault& aFault);
  void EndFault(const Fault& aFault);
  void BeginRouterFault(const Fault& aFault);
  void BeginUpstreamFault(const Fault& aFault);
  void BeginStoreFault(const Fault& aFault);
  void ReviveRouters(base::TimePoint aNow);
  bool HasRoom() const { return m_upstreams.size() < kMostUpstreams; }
  void OnCrashingRun();
  void FollowCrashes(base::TimePoint aNow);
  void FollowCrash(std::size_t aUpstream, base::TimePoint aNow);
  void OnRun(const Upstream& aUpstream, const standins::WorkerRun& aRun);
  void RunUntil(base::TimePoint aUntil);
  void StopOneInQuiet();
  bool IsCalm() const;

  SoakSettings m_settings;
  std::string m_directory;
  std::uint16_t m_port;
  eventloop::EventLoop m_loop;
  Promises m_promises;
  std::vector<Fault> m_plan;
  std::size_t m_nextFault = 0;
  std::vector<std::pair<base::TimePoint, Fault>> m_running;
  base::TimePoint m_lastFaultAt{};
  standins::StoreStandin m_store;
  std::unique_ptr<ChaosProxy> m_storeProxy;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  std::vector<Router> m_routers;
  CallerShared m_shared;
  std::vector<std::unique_ptr<SoakCaller>> m_callers;
  CrashingCaller m_crashingCaller;
  std::vector<base::TimePoint> m_crashingRuns;
  //! What was written since the store's last copy, to be written again.
  std::vector<std::function<void()>> m_written;
  base::TimePoint m_copiedAt{};
  std::optional<base::TimePoint> m_rewriteAt;
  std::uint64_t m_configVersion = 0;
  std::uint32_t m_keyNumber = 0;
  ZoneWatch m_zones{ m_promises };
  std::array<int, kSoakZones> m_evacuations{};          //!< running, by zone
  std::map<std::string, base::TimePoint> m_warmAt;      //!< by upstream
  std::map<std::string, base::TimePoint> m_withdrawnAt; //!< by key's workspace
};

}
