#include "loadmodel.h"

#include "fleet/fleetconstants.h"
#include "modelfleet.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace hemlockgauge::fleet {

namespace {

//! One step of an engine and the way there and back, in ms.
constexpr double kStepMs = 8.0;
//! Time between two generated tokens, in ms.
constexpr double kTokenMs = 12.0;
constexpr std::uint32_t kEngineMemory = 180000;
constexpr std::uint32_t kEngineSlots = 64;

TimePoint
At(double aMillis)
{
  return TimePoint(static_cast<std::int64_t>(std::ceil(aMillis)));
}

}

ModelEngine::ModelEngine(double aTokensPerMs, std::uint32_t aMemory)
  : m_tokensPerMs(aTokensPerMs)
  , m_memory(aMemory)
{
}

void
ModelEngine::Keep(const PromptPart& aPart)
{
  const auto found = m_byPart.find(aPart.id);
  if (found != m_byPart.end()) {
    m_kept.splice(m_kept.begin(), m_kept, found->second);
    return;
  }
  m_kept.push_front(aPart);
  m_byPart[aPart.id] = m_kept.begin();
  m_used += aPart.tokens;
  while (m_used > m_memory && m_kept.size() > 1) {
    m_used -= m_kept.back().tokens;
    m_byPart.erase(m_kept.back().id);
    m_kept.pop_back();
  }
}

std::uint32_t
ModelEngine::Missing(const Work& aWork)
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
ModelEngine::Read(const Work& aWork, TimePoint aNow)
{
  const auto missing = Missing(aWork);
  for (const auto& part : aWork.prompt) {
    Keep(part);
  }
  m_read += missing;
  const double begin = std::max(m_busyUntil, static_cast<double>(aNow.count()));
  m_busyUntil = begin + missing / m_tokensPerMs;
  return At(m_busyUntil + kStepMs);
}

ModelOutcome
ModelResult::Sum() const
{
  ModelOutcome sum;
  for (const auto& outcome : workspaces) {
    sum.asked += outcome.asked;
    sum.begun += outcome.begun;
    sum.inTime += outcome.inTime;
    sum.requests += outcome.requests;
    sum.taken += outcome.taken;
    sum.takenOwed += outcome.takenOwed;
    sum.takenBehind += outcome.takenBehind;
    sum.firstTokenMs.insert(sum.firstTokenMs.end(),
                            outcome.firstTokenMs.begin(),
                            outcome.firstTokenMs.end());
  }
  return sum;
}

namespace {

class Player
{
public:
  Player(const ModelLoad& aLoad, std::uint32_t aSeed);

  ModelResult Run();

private:
  void ScheduleArrival(std::size_t aKind);
  void Arrive(std::size_t aKind);
  int DrawWorkspace();
  double Draw() { return m_uniform(m_random); }

  const ModelLoad& m_load;
  ModelResult m_result;
  std::mt19937 m_random;
  std::uniform_real_distribution<double> m_uniform{ 0.0, 1.0 };
  std::uint64_t m_lastOwn = 1000000;
  std::vector<Route> m_routes;
  ModelFleet m_fleet;
  std::map<std::string, ModelEngine> m_engines;
};

Player::Player(const ModelLoad& aLoad, std::uint32_t aSeed)
  : m_load(aLoad)
  , m_random(aSeed)
  , m_fleet(aLoad.reportDelay)
{
  m_result.workspaces.resize(static_cast<std::size_t>(aLoad.workspaces));
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  config->tokensPerSecond = aLoad.tokensPerSecond;
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
                      ModelEngine(aLoad.engineTokensPerMs, kEngineMemory));
  }
  for (int i = 0; i < aLoad.routers; ++i) {
    auto& fleet = m_fleet.Add({ "r" + std::to_string(i), "zone-a", 1 });
    fleet.SetConfig(config);
    if (aLoad.routers > static_cast<int>(kMeshMost)) {
      ExchangePlan plan;
      plan.groupHubs = { { "10.0.0.1", 1 } };
      fleet.SetPlan(plan);
    }
    fleet.Upstreams().Replace(entries, m_fleet.Now());
    fleet.FollowUpstreams(m_fleet.Now());
  }
  for (const auto& kind : aLoad.kinds) {
    Route route;
    route.kind = CallKind::Stream;
    route.target = kind.target;
    m_routes.push_back(route);
  }
}

int
Player::DrawWorkspace()
{
  std::vector<double> weights;
  weights.reserve(static_cast<std::size_t>(m_load.workspaces));
  for (int i = 0; i < m_load.workspaces; ++i) {
    weights.push_back(m_load.factor(i, m_fleet.SinceStart()));
  }
  std::discrete_distribution<int> pick(weights.begin(), weights.end());
  return pick(m_random);
}

//! Arrivals are drawn one by one: their pace follows the factors of now.
void
Player::ScheduleArrival(std::size_t aKind)
{
  double factors = 0;
  for (int i = 0; i < m_load.workspaces; ++i) {
    factors += m_load.factor(i, m_fleet.SinceStart());
  }
  const double perMs =
    m_load.kinds[aKind].perSecond * factors / m_load.workspaces / 1000.0;
  const double pause = -std::log(1.0 - Draw()) / perMs;
  m_fleet.Later(m_fleet.Now() +
                  Duration(static_cast<std::int64_t>(std::lround(pause))),
                [this, aKind] {
                  ScheduleArrival(aKind);
                  Arrive(aKind);
                });
}

void
Player::Arrive(std::size_t aKind)
{
  const auto& kind = m_load.kinds[aKind];
  const int workspace = DrawWorkspace();
  const auto prefix = static_cast<std::uint64_t>(Draw() * kind.prefixes);
  Work work;
  work.promptTokens = kind.headTokens + kind.sharedTokens + kind.ownTokens;
  work.outputTokens = kind.outputTokens;
  const auto head = prefix % static_cast<std::uint64_t>(kind.heads);
  work.prompt = { { aKind * 100000 + 50000 + head, kind.headTokens },
                  { aKind * 100000 + prefix + 1, kind.sharedTokens },
                  { ++m_lastOwn, kind.ownTokens } };
  PlaceRequest request;
  request.route = &m_routes[aKind];
  request.work = &work;
  request.service = "engines";
  request.workspace = WorkspaceIdOf("w" + std::to_string(workspace));
  request.key = base::HashName("request" + std::to_string(m_lastOwn));
  request.timeLeft = 6000ms;
  const auto now = m_fleet.Now();
  auto& fleet = m_fleet.At(
    static_cast<std::size_t>(Draw() * static_cast<double>(m_fleet.Size())));
  fleet.Arrived(request, now);
  const auto place = fleet.Place(request, now);
  const bool counts = m_fleet.SinceStart() >= m_load.warmUp;
  auto& outcome = m_result.workspaces[static_cast<std::size_t>(workspace)];
  if (counts) {
    outcome.asked += work.Cost();
    outcome.requests++;
  }
  if (place.outcome != PlaceOutcome::Placed) {
    return;
  }
  const auto first = m_engines.at(place.upstreamId).Read(work, now);
  const auto took = first - now;
  if (counts) {
    outcome.begun += work.Cost();
    outcome.taken++;
    outcome.takenOwed += place.insideShare ? 1 : 0;
    outcome.takenBehind += !place.insideShare && place.farBehind ? 1 : 0;
    outcome.inTime += took <= kind.target ? work.Cost() : 0.0;
    outcome.firstTokenMs.push_back(static_cast<double>(took.count()));
  }
  const auto attempt = place.attempt;
  m_fleet.Later(first, [this, &fleet, attempt] {
    fleet.FirstToken(attempt, m_fleet.Now());
  });
  const auto end =
    first + Duration(static_cast<std::int64_t>(kTokenMs * kind.outputTokens));
  m_fleet.Later(end, [this, &fleet, attempt] {
    fleet.Ended(attempt, AttemptEnd::Answered, m_fleet.Now());
  });
}

ModelResult
Player::Run()
{
  for (std::size_t i = 0; i < m_fleet.Size(); ++i) {
    const auto offset = static_cast<std::int64_t>(
      Draw() * static_cast<double>(kReportPeriod.count()));
    m_fleet.StartReports(i, Duration(offset));
  }
  for (std::size_t i = 0; i < m_load.kinds.size(); ++i) {
    ScheduleArrival(i);
  }
  m_fleet.Run(m_load.length);
  for (const auto& [id, engine] : m_engines) {
    m_result.tokensRead += engine.TokensRead();
  }
  return std::move(m_result);
}

}

ModelResult
Play(const ModelLoad& aLoad, std::uint32_t aSeed)
{
  return Player(aLoad, aSeed).Run();
}

}
