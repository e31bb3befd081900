#include "soak/soakrun.h"

#include "base/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>

namespace hemlockgauge::soak {

using standins::Misbehaviour;

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kTick = 5ms;
//! Between the copies of the store that it may come back from.
constexpr base::Duration kCopyPeriod = 2000ms;
//! From the store's return until what it lost is written again.
constexpr base::Duration kRewriteDelay = 700ms;
constexpr base::Duration kRestartAfter = 300ms;
constexpr base::Duration kColdFor = 3000ms;
//! What a cold upstream bears in a second, as the configuration says.
constexpr int kColdPerSecond = 4;
//! Bounds of the promises, with what a busy test machine adds.
constexpr base::Duration kLeavingBound = 6000ms;
constexpr base::Duration kRevocationBound = 5000ms;
constexpr base::Duration kMachineSlack = 1500ms;
constexpr base::Duration kCalm = 3000ms;
constexpr base::Duration kGrace = 8000ms;
//! After the last fault: what may still settle, and the time looked at.
constexpr base::Duration kSettle = 7000ms;
constexpr base::Duration kQuiet = 4000ms;
constexpr double kServedWhenQuiet = 0.8;
//! One request in so many is spoiled by its upstream.
constexpr std::uint64_t kSpoilOneIn = 25;
constexpr int kRouterNet = 10;
//! Of an upstream that crashed: until its entry lapses, and until another one
//! takes its place.
constexpr base::Duration kUntilLapse = 2400ms;
constexpr base::Duration kUntilReplaced = 1000ms;
//! What a request may do that crashes upstreams: so many crash under it, so
//! many more times it reaches one later than routers need to hear of that.
constexpr std::size_t kCrashesFirst = 3;
constexpr std::size_t kRunsAfter = 3;
constexpr base::Duration kHeardOfCrash = 3000ms;

std::string
RouterIp(std::uint32_t aRouter)
{
  return "127.0.1." + std::to_string(kRouterNet + aRouter);
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
  , m_store(m_loop, At(10))
  , m_shared{ m_loop, m_promises, {}, "", "", {}, {}, {}, {} }
  , m_crashingCaller(m_shared)
{
  m_storeProxy = std::make_unique<ChaosProxy>(m_loop, At(11), At(10));
  for (std::uint32_t i = 0; i < aSettings.upstreams; ++i) {
    AddUpstream(i);
  }
  PutConfig();
  for (std::uint32_t i = 0; i < aSettings.routers; ++i) {
    WriteSettings(i);
    Router router;
    router.process = std::make_unique<RouterProcess>(
      aRouterProgram,
      fmt::format("{}/r{}.ini", m_directory, i),
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
SoakRun::At(int aOffset) const
{
  return { "127.0.0.1", static_cast<std::uint16_t>(m_port + aOffset) };
}

void
SoakRun::WriteSettings(std::uint32_t aRouter)
{
  const auto ip = RouterIp(aRouter);
  std::ofstream file(fmt::format("{}/r{}.ini", m_directory, aRouter));
  file << fmt::format("[gateway]\nid = r{0}\navailability_zone = z{1}\n"
                      "callers_listen = {2}:{3}\nprobe_listen = {2}:{4}\n"
                      "control_listen = {2}:{5}\npeer_listen = {2}:{6}\n"
                      "stop_grace_ms = {7}\n[store]\naddress = {8}\n"
                      "revocation_bound_ms = {9}\n[retries]\nslack = 50\n"
                      "[peers]\nseeds = {10}:{5},{11}:{5}\n",
                      aRouter,
                      aRouter % 2,
                      ip,
                      m_port,
                      m_port + 1,
                      m_port + 2,
                      m_port + 3,
                      kGrace.count(),
                      At(11).Text(),
                      kRevocationBound.count(),
                      RouterIp(0),
                      RouterIp(1));
}

void
SoakRun::Write(std::function<void()> aWrite)
{
  aWrite();
  m_written.push_back(std::move(aWrite));
}

//! Copies are taken now and then; what a restore lost is written again a
//! little after it, oldest first.
void
SoakRun::FollowCopies(base::TimePoint aNow)
{
  if (m_rewriteAt && aNow >= *m_rewriteAt) {
    m_rewriteAt.reset();
    for (const auto& write : m_written) {
      write();
    }
  }
  if (!m_rewriteAt && aNow - m_copiedAt > kCopyPeriod) {
    m_copiedAt = aNow;
    m_store.TakeCopy();
    m_written.clear();
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
  // The workspace's name carries the number of the key: a run shows which
  // key let it in.
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
  Write([this, text] { m_store.PutConfig(text); });
}

void
SoakRun::AddUpstream(std::uint32_t aIndex, base::Duration aColdFor)
{
  auto upstream = std::make_unique<Upstream>();
  upstream->index = aIndex;
  const auto zone = m_settings.zoneFaults > 0 ? aIndex / 2 % kSoakZones : 0;
  upstream->zone = fmt::format("z{}", zone);
  upstream->id = fmt::format("i-{}-{}", aIndex, m_upstreams.size());
  standins::WorkerSettings settings;
  settings.id = upstream->id;
  settings.isEngine = aIndex % 2 == 0;
  settings.slots = 16;
  settings.workTime = 8ms;
  const int slot = static_cast<int>(m_upstreams.size());
  settings.listen = At(20 + slot);
  upstream->worker =
    std::make_unique<standins::WorkerStandin>(m_loop, settings);
  upstream->proxy =
    std::make_unique<ChaosProxy>(m_loop, At(60 + slot), At(20 + slot));
  auto& kept = *upstream;
  kept.worker->SetJudge([this](const standins::WorkerRun& aRun) {
    if (CrashingCaller::IsRunOf(aRun.target)) {
      return HasRoom() ? Misbehaviour::Crash : Misbehaviour::CloseUnanswered;
    }
    const auto draw =
      base::HashName(aRun.requestId + aRun.lastEventId) + m_settings.seed;
    if (draw % kSpoilOneIn != 0) {
      return Misbehaviour::None;
    }
    return static_cast<Misbehaviour>(1 + draw / kSpoilOneIn % 10);
  });
  //! NOTE its address ends with it: for a while longer the proxy alone would
  //! take connections, which no process that has ended does.
  kept.worker->SetOnCrash([&kept] { kept.proxy->Close(); });
  kept.worker->SetObserver(
    [this, &kept](const standins::WorkerRun& aRun) { OnRun(kept, aRun); });
  if (aColdFor > 0ms) {
    m_warmAt[kept.id] = m_loop.Now() + aColdFor;
    m_zones.TurnedCold(kept.id, m_warmAt[kept.id]);
  }
  List(kept, false, aColdFor);
  m_upstreams.push_back(std::move(upstream));
}

void
SoakRun::List(const Upstream& aUpstream,
              bool aDraining,
              base::Duration aColdFor)
{
  const bool engine = aUpstream.index % 2 == 0;
  const int slot = std::stoi(aUpstream.id.substr(aUpstream.id.rfind('-') + 1));
  const standins::StoredEntry entry{
    engine ? "engine" : "plain",      At(60 + slot), aUpstream.zone, 16,
    aDraining ? "draining" : "ready", aColdFor
  };
  Write([this, id = aUpstream.id, entry] { m_store.PutUpstream(id, entry); });
}

void
SoakRun::OnRun(const Upstream& aUpstream, const standins::WorkerRun& aRun)
{
  if (aRun.ended) {
    return;
  }
  if (CrashingCaller::IsRunOf(aRun.target)) {
    OnCrashingRun();
    return;
  }
  const bool mayRunAgain = aRun.requestId.starts_with("safe") ||
                           aRun.requestId.starts_with("resumable");
  m_promises.Ran(aRun.requestId, mayRunAgain, !aRun.lastEventId.empty());
  m_promises.Check(Promise::OwnWorkspace,
                   aRun.workspace.starts_with("w-") && !aRun.sawKey &&
                     !aRun.sawOwnField,
                   aRun.requestId + " came with foreign fields");
  const auto now = m_loop.Now();
  m_zones.Ran(aUpstream.id, aUpstream.zone, aRun.requestId, now);
  if (aUpstream.leftAt > base::TimePoint{}) {
    m_promises.Check(Promise::NothingToLeaving,
                     now - aUpstream.leftAt < kLeavingBound,
                     aRun.requestId + " reached " + aUpstream.id +
                       " long after it left");
  }
  const auto withdrawn = m_withdrawnAt.find(aRun.workspace);
  if (withdrawn != m_withdrawnAt.end()) {
    m_promises.Check(Promise::WithdrawnKeyStops,
                     now - withdrawn->second < kRevocationBound + kMachineSlack,
                     aRun.requestId + " ran for " + aRun.workspace);
  }
}

void
SoakRun::OnCrashingRun()
{
  const auto now = m_loop.Now();
  m_crashingRuns.push_back(now);
  if (m_crashingRuns.size() <= kCrashesFirst) {
    return;
  }
  const auto limit =
    m_crashingRuns[kCrashesFirst - 1] + kHeardOfCrash + kMachineSlack;
  const auto late = static_cast<std::size_t>(std::count_if(
    m_crashingRuns.begin(), m_crashingRuns.end(), [&](base::TimePoint aAt) {
      return aAt > limit;
    }));
  m_promises.Check(Promise::CrashingStops,
                   late <= kRunsAfter,
                   fmt::format("{} runs long after the third crash, {} in all",
                               late,
                               m_crashingRuns.size()));
}

//! Its entry lapses, and another one starts.
void
SoakRun::FollowCrash(std::size_t aUpstream, base::TimePoint aNow)
{
  auto& upstream = *m_upstreams[aUpstream];
  if (!upstream.worker->HasCrashed()) {
    return;
  }
  if (upstream.crashedAt == base::TimePoint{}) {
    upstream.crashedAt = aNow;
  }
  const auto past = aNow - upstream.crashedAt;
  const bool wasListed = upstream.leftAt == base::TimePoint{};
  if (wasListed && past > kUntilLapse) {
    upstream.leftAt = aNow;
    Write([this, id = upstream.id] { m_store.RemoveUpstream(id); });
  }
  if (!upstream.replaced && past > kUntilReplaced) {
    upstream.replaced = true;
    AddUpstream(upstream.index);
  }
}

void
SoakRun::FollowCrashes(base::TimePoint aNow)
{
  const auto count = m_upstreams.size();
  for (std::size_t i = 0; i < count; ++i) {
    FollowCrash(i, aNow);
  }
}

bool
SoakRun::IsCalm() const
{
  return m_running.empty() && m_loop.Now() - m_lastFaultAt > kCalm;
}

void
SoakRun::BeginRouterFault(const Fault& aFault)
{
  auto& router = m_routers[aFault.target];
  switch (aFault.kind) {
    case FaultKind::KillRouter:
      router.calmStop = false; // a stop that it cuts short is none
      router.process->Signal(SIGKILL);
      return;
    case FaultKind::PauseRouter:
      router.process->Signal(SIGSTOP);
      return;
    case FaultKind::StopRouter:
      router.calmStop = IsCalm();
      router.stopping = true;
      router.process->Signal(SIGTERM);
      return;
    default:
      router.process->Signal(SIGHUP);
      return;
  }
}

void
SoakRun::BeginUpstreamFault(const Fault& aFault)
{
  // The newest life of this upstream.
  Upstream* upstream = nullptr;
  for (const auto& one : m_upstreams) {
    if (one->index == aFault.target) {
      upstream = one.get();
    }
  }
  const bool leaves = aFault.kind == FaultKind::DrainUpstream ||
                      aFault.kind == FaultKind::RemoveUpstream;
  if (leaves && !HasRoom()) {
    return;
  }
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
    List(*upstream, true);
  } else {
    Write([this, id = upstream->id] { m_store.RemoveUpstream(id); });
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
      m_store.ForgetHistory();
      return;
    case FaultKind::ResetStore:
      m_storeProxy->ResetAll();
      return;
    case FaultKind::RestoreStore:
      m_store.faults.mute = true;
      m_store.Restore();
      m_rewriteAt = m_loop.Now() + aFault.lasts + kRewriteDelay;
      return;
    case FaultKind::WithdrawKey:
      m_withdrawnAt[fmt::format("w-{}", m_keyNumber)] = m_loop.Now();
      m_keyNumber++;
      m_shared.withdrawnKey = m_shared.key;
      PutConfig();
      return;
    default:
      PutConfig();
      return;
  }
}

//! An upstream that is warm again says so in its entry.
void
SoakRun::FollowCold(base::TimePoint aNow)
{
  for (const auto& upstream : m_upstreams) {
    const auto found = m_warmAt.find(upstream->id);
    if (found == m_warmAt.end() || aNow < found->second) {
      continue;
    }
    m_warmAt.erase(found);
    if (upstream->leftAt == base::TimePoint{}) {
      List(*upstream, false);
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
    m_zones.Evacuated(zone, m_loop.Now());
    Write([this, zone] { m_store.Evacuate(zone); });
  } else {
    m_zones.Restored(zone);
    Write([this, zone] { m_store.EndEvacuation(zone); });
  }
}

void
SoakRun::BeginZoneFault(const Fault& aFault)
{
  if (aFault.kind == FaultKind::EvacuateZone) {
    SetEvacuated(aFault.target, true);
    return;
  }
  if (!HasRoom()) {
    return;
  }
  for (const auto& one : m_upstreams) {
    const bool leaves =
      one->index == aFault.target && one->leftAt == base::TimePoint{};
    if (leaves) {
      one->leftAt = m_loop.Now();
      Write([this, id = one->id] { m_store.RemoveUpstream(id); });
    }
  }
  AddUpstream(aFault.target, kColdFor);
}

void
SoakRun::Begin(const Fault& aFault)
{
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
      m_routers[aFault.target].process->Signal(SIGCONT);
      return;
    case FaultKind::SilenceUpstream:
    case FaultKind::CutUpstreamOneWay:
    case FaultKind::DelayUpstream:
      for (const auto& one : m_upstreams) {
        if (one->index == aFault.target) {
          one->proxy->SetSilent(false);
          one->proxy->SetOneWay(false);
          one->proxy->SetDelay({});
        }
      }
      return;
    case FaultKind::EvacuateZone:
      SetEvacuated(aFault.target, false);
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
SoakRun::ReviveRouters(base::TimePoint aNow)
{
  for (std::size_t i = 0; i < m_routers.size(); ++i) {
    auto& router = m_routers[i];
    int exit = 0;
    if (router.process->HasEnded(exit)) {
      if (router.stopping && router.calmStop) {
        m_promises.Check(Promise::GracefulStopCuts,
                         exit == 0,
                         fmt::format("r{} ended with {}", i, exit));
      }
      router.stopping = false;
      router.startAt = aNow + kRestartAfter;
    }
    if (router.startAt > base::TimePoint{} && aNow >= router.startAt) {
      router.startAt = {};
      router.process->Start();
    }
  }
}

void
SoakRun::Tick()
{
  const auto now = m_loop.Now();
  while (m_nextFault < m_plan.size() &&
         now - m_shared.startedAt >= m_plan[m_nextFault].at) {
    const auto& fault = m_plan[m_nextFault++];
    Begin(fault);
    m_lastFaultAt = now;
    m_running.emplace_back(now + fault.lasts, fault);
  }
  std::erase_if(m_running, [&](const auto& aOne) {
    const bool over = now >= aOne.first;
    if (over) {
      EndFault(aOne.second);
      m_lastFaultAt = now;
    }
    return over;
  });
  FollowCopies(now);
  ReviveRouters(now);
  FollowCrashes(now);
  FollowCold(now);
  m_crashingCaller.Tick(now);
  m_storeProxy->Tick(now);
  for (const auto& upstream : m_upstreams) {
    upstream->proxy->Tick(now);
  }
  for (const auto& caller : m_callers) {
    caller->Tick(now);
  }
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
  RunUntil(m_loop.Now() + 1500ms); // the routers find each other
  m_shared.startedAt = m_loop.Now();
  m_loop.Subscribe(kTick, [this] { Tick(); });
  RunUntil(m_shared.startedAt + m_settings.length + kSettle);
  const auto before = m_shared.ends;
  RunUntil(m_loop.Now() + kQuiet);
  double served = 0;
  double all = 0;
  for (std::size_t i = 0; i < kCallEnds; ++i) {
    const auto ended = static_cast<double>(m_shared.ends[i] - before[i]);
    all += ended;
    served += i == static_cast<std::size_t>(CallEnd::Served) ? ended : 0.0;
  }
  m_promises.Check(Promise::Recovery,
                   all > 0 && served >= kServedWhenQuiet * all,
                   fmt::format("{:.0f} of {:.0f} served", served, all));
  StopOneInQuiet();
  for (const auto& caller : m_callers) {
    caller->Stop();
  }
  RunUntil(m_loop.Now() + 1000ms);
  m_promises.Finish();
  return m_promises.Broken().empty();
}

//! Faults come in series, so few planned stops among them are calm.
void
SoakRun::StopOneInQuiet()
{
  auto& router = m_routers.front();
  BeginRouterFault({ {}, {}, FaultKind::StopRouter, 0 });
  const auto limit = m_loop.Now() + kGrace + kMachineSlack;
  while (router.stopping && m_loop.Now() < limit) {
    m_loop.RunOnce();
  }
  m_promises.Check(
    Promise::GracefulStopCuts, !router.stopping, "r0 did not end in its grace");
}

std::string
SoakRun::Report() const
{
  auto text = fmt::format("soak seed={} routers={} upstreams={} callers={} "
                          "served={} refused={} failed={}\n",
                          m_settings.seed,
                          m_settings.routers,
                          m_settings.upstreams,
                          m_settings.callers,
                          m_shared.ends[0],
                          m_shared.ends[1],
                          m_shared.ends[2]);
  text += fmt::format("first byte ms p50={:.1f} p95={:.1f} p99={:.1f}\n",
                      m_shared.firstByteMs.Quantile(0.5),
                      m_shared.firstByteMs.Quantile(0.95),
                      m_shared.firstByteMs.Quantile(0.99));
  for (std::size_t i = 0; i < kPromises; ++i) {
    const auto promise = static_cast<Promise>(i);
    text += fmt::format("promise {:<28} checked {}\n",
                        kPromiseNames.NameOf(promise),
                        m_promises.Checked(promise));
  }
  for (const auto& broken : m_promises.Broken()) {
    text += "BROKEN " + broken + "\n";
  }
  text += "second served refused failed faults\n";
  for (std::size_t s = 0; s < m_shared.bySecond.size(); ++s) {
    const auto& ends = m_shared.bySecond[s];
    text +=
      fmt::format("{:>6} {:>6} {:>7} {:>6} {:<20}",
                  s,
                  ends[0],
                  ends[1],
                  ends[2],
                  std::string(std::min<std::size_t>(ends[0] / 10, 20), '#'));
    for (const auto& fault : m_plan) {
      if (static_cast<std::size_t>(fault.at.count() / 1000) == s) {
        text += fmt::format(" {}({},{} ms)",
                            kFaultKindNames.NameOf(fault.kind),
                            fault.target,
                            fault.lasts.count());
      }
    }
    text += "\n";
  }
  return text;
}

}
