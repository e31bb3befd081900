#include "loadmodel.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>

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
  void Later(TimePoint aAt, std::function<void()> aWhat);
  void ScheduleArrival(std::size_t aKind);
  void Arrive(std::size_t aKind);
  void Report(std::size_t aRouter);
  int DrawWorkspace();
  double Draw() { return m_uniform(m_random); }
  Duration SinceStart() const { return m_now - m_start; }

  struct Event
  {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> what;

    bool operator<(const Event& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };

  const ModelLoad& m_load;
  ModelResult m_result;
  std::mt19937 m_random;
  std::uniform_real_distribution<double> m_uniform{ 0.0, 1.0 };
  TimePoint m_start{ 100000 };
  TimePoint m_now = m_start;
  std::uint64_t m_order = 0;
  std::uint64_t m_lastOwn = 1000000;
  std::priority_queue<Event> m_events;
  std::vector<Route> m_routes;
  std::vector<std::unique_ptr<Fleet>> m_fleets;
  std::map<std::string, ModelEngine> m_engines;
};

Player::Player(const ModelLoad& aLoad, std::uint32_t aSeed)
  : m_load(aLoad)
  , m_random(aSeed)
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
    m_fleets.push_back(std::make_unique<Fleet>(
      FleetSettings{ "r" + std::to_string(i), "zone-a", 1 }));
    auto& fleet = *m_fleets.back();
    fleet.SetConfig(config);
    if (aLoad.routers > static_cast<int>(kMeshMost)) {
      ExchangePlan plan;
      plan.groupHubs = { { "10.0.0.1", 1 } };
      fleet.SetPlan(plan);
    }
    fleet.Upstreams().Replace(entries, m_now);
    fleet.FollowUpstreams();
  }
  for (const auto& kind : aLoad.kinds) {
    Route route;
    route.kind = CallKind::Stream;
    route.target = kind.target;
    m_routes.push_back(route);
  }
}

void
Player::Later(TimePoint aAt, std::function<void()> aWhat)
{
  m_events.push({ aAt, m_order++, std::move(aWhat) });
}

int
Player::DrawWorkspace()
{
  std::vector<double> weights;
  weights.reserve(static_cast<std::size_t>(m_load.workspaces));
  for (int i = 0; i < m_load.workspaces; ++i) {
    weights.push_back(m_load.factor(i, SinceStart()));
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
    factors += m_load.factor(i, SinceStart());
  }
  const double perMs =
    m_load.kinds[aKind].perSecond * factors / m_load.workspaces / 1000.0;
  const double pause = -std::log(1.0 - Draw()) / perMs;
  Later(m_now + Duration(static_cast<std::int64_t>(std::lround(pause))),
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
  auto& fleet = *m_fleets[static_cast<std::size_t>(
    Draw() * static_cast<double>(m_fleets.size()))];
  fleet.Arrived(request, m_now);
  const auto place = fleet.Place(request, m_now);
  const bool counts = SinceStart() >= m_load.warmUp;
  auto& outcome = m_result.workspaces[static_cast<std::size_t>(workspace)];
  if (counts) {
    outcome.asked += work.Cost();
    outcome.requests++;
  }
  if (place.outcome != PlaceOutcome::Placed) {
    return;
  }
  const auto first = m_engines.at(place.upstreamId).Read(work, m_now);
  const auto took = first - m_now;
  if (counts) {
    outcome.begun += work.Cost();
    outcome.taken++;
    outcome.takenOwed += place.insideShare ? 1 : 0;
    outcome.takenBehind += !place.insideShare && place.farBehind ? 1 : 0;
    outcome.inTime += took <= kind.target ? work.Cost() : 0.0;
    outcome.firstTokenMs.push_back(static_cast<double>(took.count()));
  }
  const auto attempt = place.attempt;
  Later(first, [this, &fleet, attempt] { fleet.FirstToken(attempt, m_now); });
  const auto end =
    first + Duration(static_cast<std::int64_t>(kTokenMs * kind.outputTokens));
  Later(end, [this, &fleet, attempt] {
    fleet.Ended(attempt, AttemptEnd::Answered, m_now);
  });
}

void
Player::Report(std::size_t aRouter)
{
  m_fleets[aRouter]->Tick(m_now);
  const auto report =
    std::make_shared<PeerReport>(m_fleets[aRouter]->Tell(0ms, m_now));
  Later(m_now + m_load.reportDelay, [this, aRouter, report] {
    for (std::size_t i = 0; i < m_fleets.size(); ++i) {
      if (i != aRouter) {
        m_fleets[i]->Take(*report, m_now);
      }
    }
  });
  Later(m_now + kReportPeriod, [this, aRouter] { Report(aRouter); });
}

ModelResult
Player::Run()
{
  for (std::size_t i = 0; i < m_fleets.size(); ++i) {
    const auto offset = static_cast<std::int64_t>(
      Draw() * static_cast<double>(kReportPeriod.count()));
    Later(m_now + Duration(offset), [this, i] { Report(i); });
  }
  for (std::size_t i = 0; i < m_load.kinds.size(); ++i) {
    ScheduleArrival(i);
  }
  while (SinceStart() < m_load.length) {
    auto event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.what();
  }
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
