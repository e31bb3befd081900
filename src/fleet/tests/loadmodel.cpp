#include "loadmodel.h"

#include "fleet/fleetconstants.h"
#include "fleet/retrypolicy.h"
#include "modelfleet.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

namespace hemlockgauge::fleet {

namespace {

//! Time of one engine step and the network round trip, in ms.
constexpr double kStepMs = 8.0;
//! Time between two generated tokens, in ms.
constexpr double kTokenMs = 12.0;
constexpr std::uint32_t kEngineCacheTokens = 180000;
constexpr std::uint32_t kEngineSlots = 64;
constexpr Duration kModelDeadline{ 6000 };

TimePoint
ToTimePoint(double aMillis)
{
  return TimePoint(static_cast<std::int64_t>(std::ceil(aMillis)));
}

}

ModelEngine::ModelEngine(double aTokensPerMs, std::uint32_t aCacheTokens)
  : m_tokensPerMs(aTokensPerMs)
  , m_cacheTokens(aCacheTokens)
{
}

void
ModelEngine::Cache(const PromptPart& aPart)
{
  const auto found = m_byPart.find(aPart.id);
  if (found != m_byPart.end()) {
    m_cached.splice(m_cached.begin(), m_cached, found->second);
    return;
  }
  m_cached.push_front(aPart);
  m_byPart[aPart.id] = m_cached.begin();
  m_cachedTokens += aPart.tokens;
  while (m_cachedTokens > m_cacheTokens && m_cached.size() > 1) {
    m_cachedTokens -= m_cached.back().tokens;
    m_byPart.erase(m_cached.back().id);
    m_cached.pop_back();
  }
}

std::uint32_t
ModelEngine::MissingTokens(const Work& aWork)
{
  std::uint32_t missing = aWork.promptTokens;
  for (const auto& part : aWork.prompt) {
    if (!m_byPart.contains(part.id)) {
      break;
    }
    missing -= part.tokens;
  }
  return missing;
}

TimePoint
ModelEngine::Prefill(const Work& aWork, TimePoint aNow)
{
  const auto missing = MissingTokens(aWork);
  for (const auto& part : aWork.prompt) {
    Cache(part);
  }
  m_prefilledTokens += missing;
  const double begin = std::max(m_busyUntil, static_cast<double>(aNow.count()));
  m_busyUntil = begin + missing / m_tokensPerMs;
  return ToTimePoint(m_busyUntil + kStepMs);
}

ModelOutcome
ModelResult::Sum() const
{
  ModelOutcome sum;
  for (const auto& outcome : workspaces) {
    sum.requestedCost += outcome.requestedCost;
    sum.admittedCost += outcome.admittedCost;
    sum.inTimeCost += outcome.inTimeCost;
    sum.requests += outcome.requests;
    sum.admitted += outcome.admitted;
    sum.admittedInsideShare += outcome.admittedInsideShare;
    sum.admittedFarBehind += outcome.admittedFarBehind;
    sum.firstTokenMs.insert(sum.firstTokenMs.end(),
                            outcome.firstTokenMs.begin(),
                            outcome.firstTokenMs.end());
  }
  return sum;
}

namespace {

//! Time in which a connection is refused: a round trip.
constexpr Duration kRefusalTime{ 2 };

//! A request on its way to an engine.
struct ModelCall
{
  Fleet* fleet = nullptr;
  std::size_t kind = 0;
  int workspace = 0;
  Work work;
  PlaceRequest request;
  TimePoint arrivedAt{};
  bool isCounted = false;
  FailedAttempt failed; //!< as of the last failure
};

class LoadSimulation
{
public:
  LoadSimulation(const ModelLoad& aLoad, std::uint32_t aSeed);

  ModelResult Run();

private:
  void ScheduleArrival(std::size_t aKind);
  void HandleArrival(std::size_t aKind);
  void Place(const std::shared_ptr<ModelCall>& aCall);
  void Retry(const std::shared_ptr<ModelCall>& aCall);
  void Run(const ModelCall& aCall, const PlaceResult& aPlace);
  int DrawWorkspace();
  double Draw() { return m_uniform(m_random); }

  const ModelLoad& m_load;
  ModelResult m_result;
  std::mt19937 m_random;
  std::uniform_real_distribution<double> m_uniform{ 0.0, 1.0 };
  std::uint64_t m_lastUniquePart = 1000000;
  std::vector<Route> m_routes;
  ModelFleet m_fleet;
  std::map<std::string, ModelEngine> m_engines;
};

LoadSimulation::LoadSimulation(const ModelLoad& aLoad, std::uint32_t aSeed)
  : m_load(aLoad)
  , m_random(aSeed)
  , m_fleet(aLoad.reportDelay)
{
  m_result.workspaces.resize(static_cast<std::size_t>(aLoad.workspaces));
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  config->nominalTokensPerSecond = aLoad.tokensPerSecond;
  config->services["engines"] = { "engines", kEngineSlots };
  std::vector<UpstreamEntry> entries;
  for (int i = 0; i < aLoad.engines; ++i) {
    UpstreamEntry entry;
    entry.id = "e" + std::to_string(i);
    entry.service = "engines";
    entry.zone = "zone-a";
    entry.slots = kEngineSlots;
    entries.push_back(entry);
    m_engines.emplace(entry.id,
                      ModelEngine(aLoad.engineTokensPerMs, kEngineCacheTokens));
  }
  for (int i = 0; i < aLoad.routers; ++i) {
    auto& fleet = m_fleet.Add({ "r" + std::to_string(i), "zone-a", 1 });
    fleet.SetConfig(config);
    if (aLoad.routers > static_cast<int>(kMaxMeshRouters)) {
      ExchangePlan plan;
      plan.groupHubs = { { "10.0.0.1", 1 } };
      fleet.SetPlan(plan);
    }
    fleet.Upstreams().Replace(entries, m_fleet.Now());
    fleet.UpdateUpstreams(m_fleet.Now());
  }
  for (const auto& kind : aLoad.kinds) {
    Route route;
    route.kind = CallKind::Stream;
    route.target = kind.target;
    m_routes.push_back(route);
  }
}

int
LoadSimulation::DrawWorkspace()
{
  std::vector<double> weights;
  weights.reserve(static_cast<std::size_t>(m_load.workspaces));
  for (int i = 0; i < m_load.workspaces; ++i) {
    weights.push_back(m_load.demandFactor(i, m_fleet.SinceStart()));
  }
  std::discrete_distribution<int> distribution(weights.begin(), weights.end());
  return distribution(m_random);
}

//! Schedules one arrival at a time, so that the rate of arrivals follows the
//! current demand factors.
void
LoadSimulation::ScheduleArrival(std::size_t aKind)
{
  double factors = 0;
  for (int i = 0; i < m_load.workspaces; ++i) {
    factors += m_load.demandFactor(i, m_fleet.SinceStart());
  }
  const double perMs = m_load.kinds[aKind].requestsPerSecond * factors /
                       m_load.workspaces / 1000.0;
  const double interval = -std::log(1.0 - Draw()) / perMs;
  m_fleet.Schedule(m_fleet.Now() +
                     Duration(static_cast<std::int64_t>(std::lround(interval))),
                   [this, aKind] {
                     ScheduleArrival(aKind);
                     HandleArrival(aKind);
                   });
}

void
LoadSimulation::HandleArrival(std::size_t aKind)
{
  const auto& kind = m_load.kinds[aKind];
  const int workspace = DrawWorkspace();
  const auto prefix = static_cast<std::uint64_t>(Draw() * kind.prefixCount);
  const auto call = std::make_shared<ModelCall>();
  call->kind = aKind;
  call->workspace = workspace;
  auto& work = call->work;
  work.promptTokens = kind.headTokens + kind.sharedTokens + kind.uniqueTokens;
  work.outputTokens = kind.outputTokens;
  const auto head = prefix % static_cast<std::uint64_t>(kind.headCount);
  work.prompt = { { aKind * 100000 + 50000 + head, kind.headTokens },
                  { aKind * 100000 + prefix + 1, kind.sharedTokens },
                  { ++m_lastUniquePart, kind.uniqueTokens } };
  auto& request = call->request;
  request.route = &m_routes[aKind];
  request.work = &work;
  request.service = "engines";
  request.workspace = WorkspaceIdOf("w" + std::to_string(workspace));
  request.key = base::HashName("request" + std::to_string(m_lastUniquePart));
  request.timeLeft = kModelDeadline;
  const auto now = m_fleet.Now();
  call->arrivedAt = now;
  call->fleet = &m_fleet.At(
    static_cast<std::size_t>(Draw() * static_cast<double>(m_fleet.Size())));
  call->fleet->CountArrival(request, now);
  call->isCounted = m_fleet.SinceStart() >= m_load.warmUp;
  if (call->isCounted) {
    auto& outcome = m_result.workspaces[static_cast<std::size_t>(workspace)];
    outcome.requestedCost += work.Cost();
    outcome.requests++;
  }
  Place(call);
}

void
LoadSimulation::Place(const std::shared_ptr<ModelCall>& aCall)
{
  const auto place = aCall->fleet->Place(aCall->request, m_fleet.Now());
  if (place.outcome != PlaceOutcome::Placed) {
    return;
  }
  const int engine = std::stoi(place.upstreamId.substr(1));
  if (!m_load.isDown(engine, m_fleet.SinceStart())) {
    Run(*aCall, place);
    return;
  }
  aCall->request.triedUpstreams.push_back(place.upstream);
  m_fleet.Schedule(m_fleet.Now() + kRefusalTime,
                   [this, aCall, attempt = place.attempt] {
                     aCall->fleet->EndAttempt(
                       attempt, AttemptOutcome::Unreachable, m_fleet.Now());
                     Retry(aCall);
                   });
}

//! Retries as a gateway does after an engine refused the connection.
void
LoadSimulation::Retry(const std::shared_ptr<ModelCall>& aCall)
{
  auto& failed = aCall->failed;
  failed.kind = CallKind::Stream;
  failed.attemptsNotRun++;
  failed.neverSent = true;
  failed.waited = m_fleet.Now() - aCall->arrivedAt;
  failed.target = aCall->request.route->target;
  failed.timeLeft = kModelDeadline - failed.waited;
  if (DecideAfterFailure(failed, false) != AfterFailure::Retry) {
    return;
  }
  aCall->request.waited = failed.waited;
  aCall->request.timeLeft = failed.timeLeft;
  aCall->request.admitted = KeepsAdmission(failed);
  Place(aCall);
}

//! Runs a request at the engine that it was placed at.
void
LoadSimulation::Run(const ModelCall& aCall, const PlaceResult& aPlace)
{
  const auto& work = aCall.work;
  const auto first =
    m_engines.at(aPlace.upstreamId).Prefill(work, m_fleet.Now());
  const auto latency = first - aCall.arrivedAt;
  if (aCall.isCounted) {
    auto& outcome =
      m_result.workspaces[static_cast<std::size_t>(aCall.workspace)];
    outcome.admittedCost += work.Cost();
    outcome.admitted++;
    outcome.admittedInsideShare += aPlace.insideShare ? 1 : 0;
    outcome.admittedFarBehind +=
      !aPlace.insideShare && aPlace.farBehind ? 1 : 0;
    const bool inTime = latency <= m_load.kinds[aCall.kind].target;
    outcome.inTimeCost += inTime ? work.Cost() : 0.0;
    outcome.firstTokenMs.push_back(static_cast<double>(latency.count()));
  }
  auto* fleet = aCall.fleet;
  const auto attempt = aPlace.attempt;
  m_fleet.Schedule(first, [this, fleet, attempt] {
    fleet->RecordTokens(attempt, m_fleet.Now());
  });
  const auto end =
    first + Duration(static_cast<std::int64_t>(kTokenMs * work.outputTokens));
  m_fleet.Schedule(end, [this, fleet, attempt] {
    fleet->EndAttempt(attempt, AttemptOutcome::Answered, m_fleet.Now());
  });
}

ModelResult
LoadSimulation::Run()
{
  for (std::size_t i = 0; i < m_fleet.Size(); ++i) {
    const auto offset = static_cast<std::int64_t>(
      Draw() * static_cast<double>(kReportInterval.count()));
    m_fleet.StartReports(i, Duration(offset));
  }
  for (std::size_t i = 0; i < m_load.kinds.size(); ++i) {
    ScheduleArrival(i);
  }
  m_fleet.Run(m_load.length);
  for (const auto& [id, engine] : m_engines) {
    m_result.prefilledTokens += engine.PrefilledTokens();
  }
  return std::move(m_result);
}

}

ModelResult
SimulateLoad(const ModelLoad& aLoad, std::uint32_t aSeed)
{
  return LoadSimulation(aLoad, aSeed).Run();
}

}
