#include "plainmodel.h"

#include "fleet/fleetconstants.h"
#include "modelfleet.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>

namespace hemlockgauge::fleet {

namespace {

//! An upstream that runs calls in order of arrival, a fixed number at once, and
//! refuses them while its queue is full.
class ModelUpstream
{
public:
  ModelUpstream(std::uint32_t aSlots, std::size_t aQueue)
    : m_freeAt(aSlots)
    , m_maxCalls(aSlots + aQueue)
  {
  }

  //! Returns when the call ends, or nothing if it is refused.
  std::optional<TimePoint> Accept(Duration aWork, TimePoint aNow)
  {
    std::erase_if(m_ends, [&](TimePoint aEnd) { return aEnd <= aNow; });
    if (m_ends.size() >= m_maxCalls) {
      return std::nullopt;
    }
    auto& slot = *std::min_element(m_freeAt.begin(), m_freeAt.end());
    slot = std::max(slot, aNow) + aWork;
    m_ends.push_back(slot);
    return slot;
  }

private:
  std::vector<TimePoint> m_freeAt;
  std::vector<TimePoint> m_ends;
  std::size_t m_maxCalls;
};

class PlainSimulation
{
public:
  PlainSimulation(const PlainLoad& aLoad, std::uint32_t aSeed);

  PlainResult Run();

private:
  struct CallState
  {
    std::uint64_t key = 0;
    TimePoint arrivedAt{};
    bool hasReturned = false;
  };

  void ScheduleCall();
  void Call(const CallState& aCall);
  void ReturnLater(const CallState& aCall, Duration aRetryAfter);
  double Draw() { return m_uniform(m_random); }
  double DrawExponential(double aMeanMs)
  {
    return -std::log(1.0 - Draw()) * aMeanMs;
  }

  const PlainLoad& m_load;
  PlainResult m_result;
  std::mt19937 m_random;
  std::uniform_real_distribution<double> m_uniform{ 0.0, 1.0 };
  std::uint64_t m_callCount = 0;
  double m_nextCallMs = 0; //!< since the start
  Route m_route;
  Work m_noWork;
  ModelFleet m_fleet;
  std::map<std::string, ModelUpstream> m_upstreams;
  //! End of the pause by router and upstream.
  std::map<std::pair<std::size_t, std::string>, TimePoint> m_pausedUntil;
};

PlainSimulation::PlainSimulation(const PlainLoad& aLoad, std::uint32_t aSeed)
  : m_load(aLoad)
  , m_random(aSeed)
  , m_fleet(aLoad.reportDelay)
{
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  config->services["plain"] = { "plain" };
  std::vector<UpstreamEntry> entries;
  for (int i = 0; i < aLoad.upstreams; ++i) {
    UpstreamEntry entry;
    entry.id = "p" + std::to_string(i);
    entry.service = "plain";
    entry.zone = "zone-a";
    entry.slots = aLoad.slots;
    entries.push_back(entry);
    m_upstreams.emplace(entry.id, ModelUpstream(aLoad.slots, aLoad.maxQueued));
  }
  m_route.target = aLoad.target;
  for (int i = 0; i < aLoad.routers; ++i) {
    auto& fleet = m_fleet.Add({ "r" + std::to_string(i), "zone-a", 1 });
    fleet.SetConfig(config);
    fleet.Upstreams().Replace(entries, m_fleet.Now());
    fleet.UpdateUpstreams(m_fleet.Now());
  }
}

void
PlainSimulation::ScheduleCall()
{
  m_nextCallMs += DrawExponential(1000.0 / m_load.callsPerSecond);
  const auto interval =
    Duration(static_cast<std::int64_t>(m_nextCallMs)) - m_fleet.SinceStart();
  m_fleet.Schedule(m_fleet.Now() + interval, [this] {
    ScheduleCall();
    Call({ base::HashName("call" + std::to_string(++m_callCount)),
           m_fleet.Now() });
  });
}

void
PlainSimulation::ReturnLater(const CallState& aCall, Duration aRetryAfter)
{
  if (aCall.hasReturned || aRetryAfter > m_load.patience) {
    return;
  }
  m_fleet.Schedule(m_fleet.Now() + aRetryAfter, [this, call = aCall]() mutable {
    call.hasReturned = true;
    Call(call);
  });
}

void
PlainSimulation::Call(const CallState& aCall)
{
  PlaceRequest request;
  request.route = &m_route;
  request.work = &m_noWork;
  request.service = "plain";
  request.key = aCall.key;
  request.timeLeft = 1500ms;
  const auto now = m_fleet.Now();
  const auto router =
    static_cast<std::size_t>(Draw() * static_cast<double>(m_fleet.Size()));
  auto& fleet = m_fleet.At(router);
  fleet.CountArrival(request, now);
  const auto place = fleet.Place(request, now);
  const bool isCounted = m_fleet.SinceStart() >= m_load.warmUp;
  const auto count = [isCounted](int& aCounter) {
    aCounter += isCounted ? 1 : 0;
  };
  if (!aCall.hasReturned) {
    count(m_result.calls);
  }
  if (place.outcome != PlaceOutcome::Placed) {
    count(m_result.refusedByRouter);
    ReturnLater(aCall, place.retryAfter);
    return;
  }
  auto& pausedUntil = m_pausedUntil[{ router, place.upstreamId }];
  if (now < pausedUntil) {
    count(m_result.withinPauses);
  }
  const auto work =
    Duration(static_cast<std::int64_t>(DrawExponential(m_load.meanServiceMs)));
  const auto end = m_upstreams.at(place.upstreamId).Accept(work, now);
  if (!end) {
    count(m_result.refusedByUpstream);
    pausedUntil = std::max(pausedUntil, now + m_load.retryAfter);
    fleet.RecordSignals(place.attempt, { false, m_load.retryAfter }, now);
    fleet.EndAttempt(place.attempt, AttemptOutcome::Refused, now);
    const auto until = fleet.TimeUntilEligible(request, now);
    ReturnLater(aCall, std::max(until, 100ms));
    return;
  }
  count(*end - aCall.arrivedAt <= m_load.target ? m_result.inTime
                                                : m_result.late);
  m_fleet.Schedule(*end, [this, &fleet, attempt = place.attempt] {
    fleet.EndAttempt(attempt, AttemptOutcome::Answered, m_fleet.Now());
  });
}

PlainResult
PlainSimulation::Run()
{
  for (std::size_t i = 0; i < m_fleet.Size(); ++i) {
    const auto offset = static_cast<std::int64_t>(
      Draw() * static_cast<double>(kReportInterval.count()));
    m_fleet.StartReports(i, Duration(offset));
  }
  ScheduleCall();
  m_fleet.Run(m_load.length);
  return m_result;
}

}

PlainResult
SimulatePlainLoad(const PlainLoad& aLoad, std::uint32_t aSeed)
{
  return PlainSimulation(aLoad, aSeed).Run();
}

}
