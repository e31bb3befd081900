#include "soak/soakrun.h"

#include "soak/oddentry.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>

namespace hemlockgauge::soak {

using standins::UpstreamFault;

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kTickInterval = 5ms;
//! Interval between copies of the store, which a restore returns to.
constexpr base::Duration kCopyInterval = 2000ms;
//! Time from the end of a store restore until the lost writes are repeated.
constexpr base::Duration kRewriteDelay = 700ms;
constexpr base::Duration kRestartDelay = 300ms;
constexpr base::Duration kColdFor = 3000ms;
//! Configured maximum number of requests per second to a cold upstream.
constexpr int kColdPerSecond = 4;
//! Time bounds of the guarantees, including delays of a busy test machine.
constexpr base::Duration kLeavingBound = 6000ms;
constexpr base::Duration kRevocationBound = 5000ms;
constexpr base::Duration kMachineSlack = 1500ms;
constexpr base::Duration kFaultFreeTime = 3000ms;
constexpr base::Duration kGracePeriod = 8000ms;
//! After the fault time: first the time to recover, then the time in which the
//! ratio of served requests is checked.
constexpr base::Duration kRecoveryTime = 7000ms;
constexpr base::Duration kRecoveryCheckTime = 4000ms;
constexpr double kMinServedRatio = 0.8;
constexpr base::Duration kPause = 2500ms;
//! Engines of the first two versions serve from the start. Each later version
//! is that of two releases.
constexpr std::uint32_t kFirstVersions = 2;
constexpr int kFirstRouterHostNumber = 10;
//! Times from an upstream's crash until its entry in the store expires, and
//! until another upstream replaces it.
constexpr base::Duration kEntryExpiryDelay = 2400ms;
constexpr base::Duration kReplacementDelay = 1000ms;

std::string
RouterIp(std::uint32_t aRouter)
{
  return "127.0.1." + std::to_string(kFirstRouterHostNumber + aRouter);
}

}

SoakRun::SoakRun(const SoakSettings& aSettings,
                 const std::string& aRouterProgram,
                 const std::string& aDirectory,
                 std::uint16_t aPort)
  : m_settings(aSettings)
  , m_directory(aDirectory)
  , m_port(aPort)
  , m_plan(MakePlan(aSettings))
  , m_store(m_loop, LocalAddress(10))
  , m_shared{ m_loop, m_guarantees, m_signalChecks, m_spoilChecks }
  , m_crashingCaller(m_shared, CrashCause::Request)
  , m_crashingPartCaller(m_shared, CrashCause::PromptPart)
  , m_oddCallers(m_shared, aSettings.seed)
{
  m_storeProxy =
    std::make_unique<ChaosProxy>(m_loop, LocalAddress(11), LocalAddress(10));
  m_shared.resumesStreams =
    aSettings.versionFaults > 0 || aSettings.hasSpoiledResponses;
  m_shared.readsSlowly = aSettings.hasEndlessResponses;
  m_shared.sendsLargeBodies = aSettings.hasEndlessResponses;
  for (std::uint32_t i = 0; i < aSettings.upstreams; ++i) {
    m_versionOf[i] = 1 + i / 2 % kFirstVersions;
    AddUpstream(i);
  }
  PutConfig();
  for (std::uint32_t i = 0; i < aSettings.routers; ++i) {
    WriteSettings(i);
    Router router;
    router.process = std::make_unique<ChildProcess>(
      aRouterProgram,
      std::vector{ fmt::format("--settings={}/r{}.ini", m_directory, i) },
      fmt::format("{}/r{}.log", m_directory, i));
    m_routers.push_back(std::move(router));
    m_shared.routers.push_back({ RouterIp(i), m_port });
  }
  for (std::uint32_t i = 0; i < aSettings.callers; ++i) {
    m_callers.push_back(
      std::make_unique<SoakCaller>(m_shared, i, aSettings.seed));
  }
}

SoakRun::~SoakRun() = default;

base::Address
SoakRun::LocalAddress(int aOffset) const
{
  return { "127.0.0.1", static_cast<std::uint16_t>(m_port + aOffset) };
}

void
SoakRun::WriteSettings(std::uint32_t aRouter)
{
  const auto ip = RouterIp(aRouter);
  const auto memoryLine =
    m_settings.memoryLimit == 0
      ? std::string()
      : fmt::format("memory_limit_mb = {}\n", m_settings.memoryLimit >> 20U);
  std::ofstream file(fmt::format("{}/r{}.ini", m_directory, aRouter));
  file << fmt::format("[gateway]\nid = r{0}\navailability_zone = z{1}\n"
                      "callers_listen = {2}:{3}\nprobe_listen = {2}:{4}\n"
                      "control_listen = {2}:{5}\npeer_listen = {2}:{6}\n"
                      "stop_grace_ms = {7}\n{12}[store]\naddress = {8}\n"
                      "revocation_bound_ms = {9}\n[retries]\nslack = 50\n"
                      "[peers]\nseeds = {10}:{5},{11}:{5}\n",
                      aRouter,
                      aRouter % 2,
                      ip,
                      m_port,
                      m_port + 1,
                      m_port + 2,
                      m_port + 3,
                      kGracePeriod.count(),
                      LocalAddress(11).Text(),
                      kRevocationBound.count(),
                      RouterIp(0),
                      RouterIp(1),
                      memoryLine);
}

void
SoakRun::WriteToStore(std::function<void()> aWrite)
{
  aWrite();
  m_writesSinceCopy.push_back(std::move(aWrite));
}

//! Copies the store every kCopyInterval. After a restore, repeats the lost
//! writes in their original order when m_rewriteAt is reached.
void
SoakRun::UpdateStoreCopies(base::TimePoint aNow)
{
  if (m_rewriteAt && aNow >= *m_rewriteAt) {
    m_rewriteAt.reset();
    for (const auto& write : m_writesSinceCopy) {
      write();
    }
  }
  if (!m_rewriteAt && aNow - m_copiedAt > kCopyInterval) {
    m_copiedAt = aNow;
    m_store.SaveBackup();
    m_writesSinceCopy.clear();
  }
}

void
SoakRun::PutConfig()
{
  const auto route = [](const char* aName,
                        const char* aType,
                        const char* aService,
                        int aAttempts,
                        bool aResumable) {
    return fmt::format(R"({{"name":"{0}","host":"h.example","prefix":"/{0}/",)"
                       R"("type":"{1}","timeoutMs":3500,)"
                       R"("targetLatencyMs":1000,"service":"{2}",)"
                       R"("maxAttempts":{3},"resumable":{4},"public":{5}}})",
                       aName,
                       aType,
                       aService,
                       aAttempts,
                       aResumable ? "true" : "false",
                       aName == std::string("crash") ? "true" : "false");
  };
  // The workspace's name contains the number of its key, so a request at an
  // upstream shows which key admitted it.
  m_shared.key = fmt::format("key-{}", m_keyNumber);
  const auto text =
    fmt::format(R"({{"version":{},"routes":[{},{},{},{},{}],"services":[)"
                R"({{"name":"plain","coldPerS":{}}},{{"name":"engine",)"
                R"("coldPerS":{},"engine":)"
                R"({{"slots":16,"kvCapacity":100000}}}}],)"
                R"("limits":{{"tokensPerS":1000000}},"tenants":[)"
                R"({{"name":"w-{}","apiKeys":["{}"]}}]}})",
                ++m_configVersion,
                route("safe", "safe", "plain", 2, false),
                route("once", "unsafe", "plain", 1, false),
                route("stream", "streaming", "engine", 1, false),
                route("resumable", "streaming", "engine", 3, true),
                route("crash", "streaming", "engine", 3, true),
                kColdPerSecond,
                kColdPerSecond,
                m_keyNumber,
                m_shared.key);
  WriteToStore([this, text] { m_store.PutConfig(text); });
}

void
SoakRun::AddUpstream(std::uint32_t aIndex, base::Duration aColdFor)
{
  auto upstream = std::make_unique<Upstream>();
  upstream->index = aIndex;
  const auto zone = m_settings.zoneFaults > 0 ? aIndex / 2 % kSoakZones : 0;
  upstream->zone = fmt::format("z{}", zone);
  upstream->id = fmt::format("i-{}-{}", aIndex, m_upstreams.size());
  standins::UpstreamStandinSettings settings;
  settings.id = upstream->id;
  settings.isEngine = aIndex % 2 == 0;
  settings.slots = 16;
  settings.workTime = 8ms;
  upstream->softwareVersion = VersionOfNew(aIndex);
  settings.softwareVersion = upstream->softwareVersion;
  const int slot = static_cast<int>(m_upstreams.size());
  settings.listen = LocalAddress(20 + slot);
  upstream->worker =
    std::make_unique<standins::UpstreamStandin>(m_loop, settings);
  upstream->proxy = std::make_unique<ChaosProxy>(
    m_loop, LocalAddress(60 + slot), LocalAddress(20 + slot));
  auto& added = *upstream;
  added.worker->SetFaultSelector(
    [this, &added](const standins::UpstreamRun& aRun) {
      return ChooseFault(added, aRun);
    });
  added.worker->SetRefusalObserver(
    [this, &added](const standins::UpstreamRun& aRun,
                   base::Duration aRetryAfter) {
      const auto now = m_loop.Now();
      m_signalChecks.Arrived(added.id, aRun.requestId, now);
      if (added.proxy->ForwardsAnswers()) {
        m_signalChecks.Refused(added.id, aRun.requestId, aRetryAfter, now);
      }
    });
  // After a crash the proxy must stop listening too: otherwise it would accept
  // connections to a process that has ended.
  added.worker->SetOnCrash([&added] { added.proxy->Close(); });
  added.worker->SetObserver(
    [this, &added](const standins::UpstreamRun& aRun) { OnRun(added, aRun); });
  if (aColdFor > 0ms) {
    m_warmAt[added.id] = m_loop.Now() + aColdFor;
    m_zoneChecks.TurnedCold(added.id, m_warmAt[added.id]);
  }
  PutEntry(added, false, aColdFor);
  m_upstreams.push_back(std::move(upstream));
}

//! Software version of a new upstream; empty if the run has one version.
std::string
SoakRun::VersionOfNew(std::uint32_t aIndex) const
{
  return m_settings.versionFaults == 0
           ? ""
           : fmt::format("v{}", m_versionOf.at(aIndex));
}

UpstreamFault
SoakRun::ChooseFault(const Upstream& aUpstream,
                     const standins::UpstreamRun& aRun)
{
  const FaultTarget target{ aUpstream.id,
                            aUpstream.worker->IsEngine(),
                            aUpstream.asksForPauses,
                            aUpstream.spoilsAll,
                            HasFreePorts() };
  const auto chosen =
    m_faultChooser.Choose(target, aRun, m_loop.Now() - m_shared.startedAt);
  if (chosen.fault != UpstreamFault::None) {
    m_spoilChecks.FaultInjected(aRun.requestId);
  }
  aUpstream.worker->SetSpoil(chosen.spoil);
  aUpstream.worker->SetCut(chosen.cut);
  return chosen.fault;
}

void
SoakRun::PutEntry(const Upstream& aUpstream,
                  bool aDraining,
                  base::Duration aColdFor)
{
  const bool engine = aUpstream.index % 2 == 0;
  const int slot = std::stoi(aUpstream.id.substr(aUpstream.id.rfind('-') + 1));
  // A proxy would pass on bytes without an end too slowly to fill a memory.
  const int port = m_settings.hasEndlessResponses ? 20 + slot : 60 + slot;
  const standins::StoredEntry entry{ engine ? "engine" : "plain",
                                     LocalAddress(port),
                                     aUpstream.zone,
                                     16,
                                     aDraining ? "draining" : "ready",
                                     aColdFor,
                                     0,
                                     aUpstream.softwareVersion.empty()
                                       ? "v1"
                                       : aUpstream.softwareVersion };
  WriteToStore(
    [this, id = aUpstream.id, entry] { m_store.PutUpstream(id, entry); });
}

void
SoakRun::OnRun(const Upstream& aUpstream, const standins::UpstreamRun& aRun)
{
  if (aRun.ended || OddCallers::Sent(aRun.requestId)) {
    return;
  }
  if (const auto cause = CrashingCaller::CauseOf(aRun.target)) {
    m_crashChecks.RecordRun(*cause, m_loop.Now());
    return;
  }
  const bool mayRunAgain = aRun.requestId.starts_with("safe") ||
                           aRun.requestId.starts_with("resumable");
  m_guarantees.RecordRun(
    aRun.requestId, mayRunAgain, !aRun.lastEventId.empty());
  m_guarantees.Check(
    Guarantee::CorrectWorkspace,
    aRun.workspace.starts_with("w-") && !aRun.receivedCallerKey &&
      !aRun.receivedRouterOnlyField,
    aRun.requestId +
      " reached its upstream with another workspace or with its key");
  const auto now = m_loop.Now();
  if (aUpstream.worker->IsEngine()) {
    m_spoilChecks.EngineGotRequest(aUpstream.spoilsAll, now);
  }
  m_signalChecks.Arrived(aUpstream.id, aRun.requestId, now);
  m_zoneChecks.RecordRun(aUpstream.id, aUpstream.zone, aRun.requestId, now);
  if (aUpstream.leftAt > base::TimePoint{}) {
    m_guarantees.Check(Guarantee::NoWorkForLeaving,
                       now - aUpstream.leftAt < kLeavingBound,
                       aRun.requestId + " reached " + aUpstream.id +
                         " too long after the upstream left");
  }
  const auto withdrawn = m_revokedAt.find(aRun.workspace);
  if (withdrawn != m_revokedAt.end()) {
    m_guarantees.Check(Guarantee::RevokedKeyRejected,
                       now - withdrawn->second <
                         kRevocationBound + kMachineSlack,
                       aRun.requestId + " ran for " + aRun.workspace);
  }
}

//! Removes a crashed upstream's entry and starts a replacement when due.
void
SoakRun::HandleCrash(std::size_t aUpstream, base::TimePoint aNow)
{
  auto& upstream = *m_upstreams[aUpstream];
  if (!upstream.worker->HasCrashed()) {
    return;
  }
  if (upstream.crashedAt == base::TimePoint{}) {
    upstream.crashedAt = aNow;
  }
  const auto timeSinceCrash = aNow - upstream.crashedAt;
  const bool wasListed = upstream.leftAt == base::TimePoint{};
  if (wasListed && timeSinceCrash > kEntryExpiryDelay) {
    upstream.leftAt = aNow;
    WriteToStore([this, id = upstream.id] { m_store.RemoveUpstream(id); });
  }
  if (!upstream.replaced && timeSinceCrash > kReplacementDelay) {
    upstream.replaced = true;
    AddUpstream(upstream.index);
  }
}

void
SoakRun::HandleCrashes(base::TimePoint aNow)
{
  const auto count = m_upstreams.size();
  for (std::size_t i = 0; i < count; ++i) {
    HandleCrash(i, aNow);
  }
}

bool
SoakRun::HasNoRecentFault() const
{
  return m_activeFaults.empty() &&
         m_loop.Now() - m_lastFaultAt > kFaultFreeTime;
}

void
SoakRun::BeginRouterFault(const Fault& aFault)
{
  auto& router = m_routers[aFault.target];
  if (aFault.kind != FaultKind::ReloadRouter) {
    m_signalChecks.RouterDisturbed(aFault.target);
  }
  switch (aFault.kind) {
    case FaultKind::KillRouter:
      router.faultFreeStop = false; // the kill ends a planned stop early
      router.toldToEnd = true;
      router.process->Signal(SIGKILL);
      return;
    case FaultKind::PauseRouter:
      router.process->Signal(SIGSTOP);
      return;
    case FaultKind::StopRouter:
      router.faultFreeStop = HasNoRecentFault();
      router.stopping = true;
      router.toldToEnd = true;
      router.process->Signal(SIGTERM);
      return;
    default:
      router.process->Signal(SIGHUP);
      return;
  }
}

SoakRun::Upstream&
SoakRun::NewestUpstream(std::uint32_t aIndex)
{
  const auto found = std::find_if(
    m_upstreams.rbegin(), m_upstreams.rend(), [&](const auto& aUpstream) {
      return aUpstream->index == aIndex;
    });
  return **found;
}

void
SoakRun::BeginSignalFault(const Fault& aFault)
{
  auto& upstream = NewestUpstream(aFault.target);
  if (aFault.kind == FaultKind::AskForPauses) {
    upstream.asksForPauses = true;
    upstream.worker->SetRetryAfter(kPause);
    return;
  }
  if (HasFreePorts()) {
    upstream.worker->Leave();
    AddUpstream(aFault.target);
  }
}

void
SoakRun::BeginVersionFault(const Fault& aFault)
{
  auto& upstream = NewestUpstream(aFault.target);
  if (!HasFreePorts() || upstream.worker->HasCrashed()) {
    return;
  }
  m_signalChecks.UpstreamDisturbed(upstream.id);
  if (aFault.kind == FaultKind::CrashEngine) {
    upstream.worker->Crash();
    return;
  }
  m_versionOf[aFault.target] = 1 + kFirstVersions + m_releases++ / 2;
  AddUpstream(aFault.target);
  upstream.leftAt = m_loop.Now();
  upstream.worker->Leave();
  PutEntry(upstream, true);
}

void
SoakRun::EndSignalFault(const Fault& aFault)
{
  for (const auto& upstream : m_upstreams) {
    if (upstream->index != aFault.target) {
      continue;
    }
    if (aFault.kind == FaultKind::AskForPauses) {
      upstream->asksForPauses = false;
      upstream->worker->SetRetryAfter({});
      continue;
    }
    const bool isUnlisted = upstream->leftAt > base::TimePoint{};
    if (upstream->worker->IsLeaving() && !isUnlisted) {
      upstream->leftAt = m_loop.Now();
      PutEntry(*upstream, true);
    }
  }
}

void
SoakRun::BeginUpstreamFault(const Fault& aFault)
{
  auto* upstream = &NewestUpstream(aFault.target);
  const bool isRemoval = aFault.kind == FaultKind::DrainUpstream ||
                         aFault.kind == FaultKind::RemoveUpstream;
  if (isRemoval && !HasFreePorts()) {
    return;
  }
  m_signalChecks.UpstreamDisturbed(upstream->id);
  switch (aFault.kind) {
    case FaultKind::ResetUpstream:
      upstream->proxy->ResetAll();
      return;
    case FaultKind::SilenceUpstream:
      upstream->proxy->SetSilent(true);
      return;
    case FaultKind::CutUpstreamOneWay:
      upstream->proxy->SetOneWay(true);
      return;
    case FaultKind::DelayUpstream:
      upstream->proxy->SetDelay(150ms);
      return;
    default:
      break;
  }
  AddUpstream(aFault.target);
  upstream->leftAt = m_loop.Now();
  if (aFault.kind == FaultKind::DrainUpstream) {
    upstream->worker->Leave();
    PutEntry(*upstream, true);
  } else {
    WriteToStore([this, id = upstream->id] { m_store.RemoveUpstream(id); });
  }
}

void
SoakRun::BeginStoreFault(const Fault& aFault)
{
  switch (aFault.kind) {
    case FaultKind::StoreMute:
      m_store.faults.mute = true;
      return;
    case FaultKind::StoreRefuses:
      m_store.faults.failStatus = 503;
      return;
    case FaultKind::StoreForgets:
      m_store.DiscardHistory();
      return;
    case FaultKind::ResetStore:
      m_storeProxy->ResetAll();
      return;
    case FaultKind::RestoreStore:
      m_store.faults.mute = true;
      m_store.Restore();
      m_rewriteAt = m_loop.Now() + aFault.duration + kRewriteDelay;
      return;
    case FaultKind::RevokeKey:
      m_revokedAt[fmt::format("w-{}", m_keyNumber)] = m_loop.Now();
      m_keyNumber++;
      m_shared.revokedKey = m_shared.key;
      PutConfig();
      return;
    default:
      PutConfig();
      return;
  }
}

//! Updates the entries of upstreams whose cold time has ended.
void
SoakRun::UpdateWarmUpstreams(base::TimePoint aNow)
{
  for (const auto& upstream : m_upstreams) {
    const auto found = m_warmAt.find(upstream->id);
    if (found == m_warmAt.end() || aNow < found->second) {
      continue;
    }
    m_warmAt.erase(found);
    if (upstream->leftAt == base::TimePoint{}) {
      PutEntry(*upstream, false);
    }
  }
}

void
SoakRun::SetEvacuated(std::uint32_t aZone, bool aEvacuated)
{
  auto& running = m_evacuations.at(aZone);
  const bool before = running > 0;
  running += aEvacuated ? 1 : -1;
  const bool after = running > 0;
  if (before == after) {
    return;
  }
  const auto zone = fmt::format("z{}", aZone);
  if (after) {
    m_zoneChecks.Evacuated(zone, m_loop.Now());
    WriteToStore([this, zone] { m_store.Evacuate(zone); });
  } else {
    m_zoneChecks.Restored(zone);
    WriteToStore([this, zone] { m_store.EndEvacuation(zone); });
  }
}

void
SoakRun::BeginZoneFault(const Fault& aFault)
{
  if (aFault.kind == FaultKind::EvacuateZone) {
    SetEvacuated(aFault.target, true);
    return;
  }
  if (!HasFreePorts()) {
    return;
  }
  for (const auto& one : m_upstreams) {
    const bool isRemoval =
      one->index == aFault.target && one->leftAt == base::TimePoint{};
    if (isRemoval) {
      one->leftAt = m_loop.Now();
      WriteToStore([this, id = one->id] { m_store.RemoveUpstream(id); });
    }
  }
  AddUpstream(aFault.target, kColdFor);
}

void
SoakRun::BeginSpoil(const Fault& aFault)
{
  if (aFault.kind == FaultKind::OddEntry) {
    const auto key = fmt::format("servers/odd-{}", m_oddEntries);
    const auto text = OddEntryText(m_oddEntries++);
    WriteToStore([this, key, text] { m_store.Put(key, text); });
    return;
  }
  auto& upstream = NewestUpstream(aFault.target);
  upstream.spoilsAll = true;
  if (upstream.worker->IsEngine()) {
    m_spoilChecks.EngineBeginsToSpoil((m_settings.upstreams + 1) / 2,
                                      m_loop.Now());
  }
}

void
SoakRun::EndSpoil(const Fault& aFault)
{
  m_spoilChecks.SpoilEnds();
  for (const auto& upstream : m_upstreams) {
    if (upstream->index == aFault.target) {
      upstream->spoilsAll = false;
    }
  }
}

void
SoakRun::BeginFault(const Fault& aFault)
{
  if (aFault.kind >= FaultKind::SpoilAnswers) {
    BeginSpoil(aFault);
    return;
  }
  if (aFault.kind >= FaultKind::ReleaseVersion) {
    BeginVersionFault(aFault);
    return;
  }
  if (aFault.kind >= FaultKind::LeaveInAnswers) {
    BeginSignalFault(aFault);
    return;
  }
  if (aFault.kind >= FaultKind::EvacuateZone) {
    BeginZoneFault(aFault);
    return;
  }
  if (aFault.kind <= FaultKind::ReloadRouter) {
    BeginRouterFault(aFault);
  } else if (aFault.kind <= FaultKind::RemoveUpstream) {
    BeginUpstreamFault(aFault);
  } else {
    BeginStoreFault(aFault);
  }
}

void
SoakRun::EndFault(const Fault& aFault)
{
  switch (aFault.kind) {
    case FaultKind::PauseRouter:
      m_signalChecks.RouterDisturbed(aFault.target);
      m_routers[aFault.target].process->Signal(SIGCONT);
      return;
    case FaultKind::SilenceUpstream:
    case FaultKind::CutUpstreamOneWay:
    case FaultKind::DelayUpstream:
      for (const auto& one : m_upstreams) {
        if (one->index == aFault.target) {
          m_signalChecks.UpstreamDisturbed(one->id);
          one->proxy->SetSilent(false);
          one->proxy->SetOneWay(false);
          one->proxy->SetDelay({});
        }
      }
      return;
    case FaultKind::EvacuateZone:
      SetEvacuated(aFault.target, false);
      return;
    case FaultKind::LeaveInAnswers:
    case FaultKind::AskForPauses:
      EndSignalFault(aFault);
      return;
    case FaultKind::SpoilAnswers:
      EndSpoil(aFault);
      return;
    case FaultKind::RestoreStore:
    case FaultKind::StoreMute:
      m_store.faults.mute = false;
      m_storeProxy->ResetAll();
      return;
    case FaultKind::StoreRefuses:
      m_store.faults.failStatus = 0;
      return;
    default:
      return;
  }
}

void
SoakRun::RestartRouters(base::TimePoint aNow)
{
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    auto& router = m_routers[i];
    int exit = 0;
    EnforceMemoryLimit(i);
    if (router.process->HasEnded(exit)) {
      m_guarantees.Check(Guarantee::EndsOnlyWhenTold,
                         router.toldToEnd,
                         fmt::format("r{} ended with status {}", i, exit));
      router.toldToEnd = false;
      if (router.stopping && router.faultFreeStop) {
        m_guarantees.Check(
          Guarantee::GracefulStop,
          exit == 0,
          fmt::format("r{} stopped with exit status {}", i, exit));
      }
      router.stopping = false;
      router.startAt = aNow + kRestartDelay;
    }
    if (router.startAt > base::TimePoint{} && aNow >= router.startAt) {
      router.startAt = {};
      m_signalChecks.RouterDisturbed(static_cast<std::uint32_t>(i));
      router.process->Start();
    }
  }
}

//! Kills a router that exceeds its memory limit, as the platform does.
void
SoakRun::EnforceMemoryLimit(std::size_t aRouter)
{
  auto& process = *m_routers[aRouter].process;
  if (m_settings.memoryLimit == 0 || !process.IsRunning()) {
    return;
  }
  const auto resident = process.ResidentBytes();
  const bool isWithin = resident <= m_settings.memoryLimit;
  m_guarantees.Check(Guarantee::MemoryWithinLimit,
                     isWithin,
                     fmt::format("r{} used {} bytes", aRouter, resident));
  if (!isWithin) {
    m_routers[aRouter].toldToEnd = true;
    m_routers[aRouter].faultFreeStop = false;
    process.Signal(SIGKILL);
  }
}

void
SoakRun::Tick()
{
  const auto now = m_loop.Now();
  while (m_nextFault < m_plan.size() &&
         now - m_shared.startedAt >= m_plan[m_nextFault].at) {
    const auto& fault = m_plan[m_nextFault++];
    BeginFault(fault);
    m_lastFaultAt = now;
    m_activeFaults.emplace_back(now + fault.duration, fault);
  }
  std::erase_if(m_activeFaults, [&](const auto& aOne) {
    const bool over = now >= aOne.first;
    if (over) {
      EndFault(aOne.second);
      m_lastFaultAt = now;
    }
    return over;
  });
  UpdateStoreCopies(now);
  RestartRouters(now);
  HandleCrashes(now);
  UpdateWarmUpstreams(now);
  m_crashingCaller.Tick(now);
  if (m_settings.hasCrashingPart) {
    m_crashingPartCaller.Tick(now);
  }
  TickOddCallers(now);
  m_storeProxy->Tick(now);
  for (const auto& upstream : m_upstreams) {
    upstream->proxy->Tick(now);
  }
  for (const auto& caller : m_callers) {
    caller->Tick(now);
  }
}

//! Odd callers leave with the faults, so that recovery can be judged.
void
SoakRun::TickOddCallers(base::TimePoint aNow)
{
  if (!m_settings.hasOddCallers) {
    return;
  }
  if (aNow - m_shared.startedAt >= m_settings.length) {
    m_oddCallers.Stop();
  }
  m_oddCallers.Tick(aNow);
}

void
SoakRun::RunUntil(base::TimePoint aUntil)
{
  while (m_loop.Now() < aUntil) {
    m_loop.RunOnce();
  }
}

bool
SoakRun::Run()
{
  for (auto& router : m_routers) {
    router.process->Start();
  }
  RunUntil(m_loop.Now() +
           1500ms); // time for the routers to discover each other
  m_shared.startedAt = m_loop.Now();
  m_spoilChecks.SetPeriod(m_shared.startedAt + EndOfOtherFaults(m_settings) +
                            kFaultFreeTime,
                          m_shared.startedAt + m_settings.length);
  m_loop.SchedulePeriodic(kTickInterval, [this] { Tick(); });
  RunUntil(m_shared.startedAt + m_settings.length + kRecoveryTime);
  const auto before = m_shared.outcomes;
  RunUntil(m_loop.Now() + kRecoveryCheckTime);
  double served = 0;
  double all = 0;
  for (std::size_t i = 0; i < kCallOutcomes; ++i) {
    const auto ended = static_cast<double>(m_shared.outcomes[i] - before[i]);
    all += ended;
    served += i == static_cast<std::size_t>(CallOutcome::Served) ? ended : 0.0;
  }
  m_guarantees.Check(
    Guarantee::Recovery,
    all > 0 && served >= kMinServedRatio * all,
    fmt::format(
      "{:.0f} of {:.0f} requests served after the faults", served, all));
  CheckGracefulStop();
  for (const auto& caller : m_callers) {
    caller->Stop();
  }
  RunUntil(m_loop.Now() + 1000ms);
  CheckStreamsGoOn();
  CheckSharersBegin();
  if (m_settings.hasSpoiledResponses) {
    m_spoilChecks.Finish(m_settings.upstreams);
  }
  m_guarantees.Finish();
  return m_guarantees.Violations().empty();
}

//! Stops one router without recent faults, because few of the planned stops
//! happen far enough from other faults to check GracefulStop.
void
SoakRun::CheckGracefulStop()
{
  auto& router = m_routers.front();
  BeginRouterFault({ {}, {}, FaultKind::StopRouter, 0 });
  const auto limit = m_loop.Now() + kGracePeriod + kMachineSlack;
  while (router.stopping && m_loop.Now() < limit) {
    m_loop.RunOnce();
  }
  m_guarantees.Check(Guarantee::GracefulStop,
                     !router.stopping,
                     "r0 did not stop within its grace period");
}

}
