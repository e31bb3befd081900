#include "plainmodel.h"

#include "fleet/fleetconstants.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace hemlockgauge::fleet {

namespace {

//! Takes calls in the order of arrival, some at once, and refuses when full.
class ModelService
{
public:
  ModelService(std::uint32_t aSlots, std::size_t aQueue)
    : m_freeAt(aSlots)
    , m_most(aSlots + aQueue)
  {
  }

  //! Returns when the call ends; nothing if it is refused.
  std::optional<TimePoint> Take(Duration aWork, TimePoint aNow)
  {
    std::erase_if(m_ends, [&](TimePoint aEnd) { return aEnd <= aNow; });
    if (m_ends.size() >= m_most) {
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
  std::size_t m_most;
};

class PlainPlayer
{
public:
  PlainPlayer(const PlainLoad& aLoad, std::uint32_t aSeed);

  PlainResult Run();

private:
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

  void Later(TimePoint aAt, std::function<void()> aWhat);
  void Report(std::size_t aRouter);
  void ScheduleCall();
  void Call();
  double Draw() { return m_uniform(m_random); }
  double DrawPause(double aMeanMs) { return -std::log(1.0 - Draw()) * aMeanMs; }

  const PlainLoad& m_load;
  PlainResult m_result;
  std::mt19937 m_random;
  std::uniform_real_distribution<double> m_uniform{ 0.0, 1.0 };
  TimePoint m_start{ 100000 };
  TimePoint m_now = m_start;
  std::uint64_t m_order = 0;
  std::uint64_t m_calls = 0;
  double m_nextCallMs = 0; //!< since the start
  Route m_route;
  Work m_noWork;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Fleet>> m_fleets;
  std::map<std::string, ModelService> m_services;
};

PlainPlayer::PlainPlayer(const PlainLoad& aLoad, std::uint32_t aSeed)
  : m_load(aLoad)
  , m_random(aSeed)
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
    m_services.emplace(entry.id, ModelService(aLoad.slots, aLoad.queue));
  }
  m_route.target = aLoad.target;
  for (int i = 0; i < aLoad.routers; ++i) {
    m_fleets.push_back(std::make_unique<Fleet>(
      FleetSettings{ "r" + std::to_string(i), "zone-a", 1 }));
    m_fleets.back()->SetConfig(config);
    m_fleets.back()->Upstreams().Replace(entries, m_now);
    m_fleets.back()->FollowUpstreams();
  }
}

void
PlainPlayer::Later(TimePoint aAt, std::function<void()> aWhat)
{
  m_events.push({ aAt, m_order++, std::move(aWhat) });
}

void
PlainPlayer::Report(std::size_t aRouter)
{
  m_fleets[aRouter]->Tick(m_now);
  const auto report =
    std::make_shared<PeerReport>(m_fleets[aRouter]->Tell(0ms, m_now));
  report->loadAge = m_load.newsDelay;
  Later(m_now + m_load.newsDelay, [this, aRouter, report] {
    for (std::size_t i = 0; i < m_fleets.size(); ++i) {
      if (i != aRouter) {
        m_fleets[i]->Take(*report, m_now);
      }
    }
  });
  Later(m_now + kReportPeriod, [this, aRouter] { Report(aRouter); });
}

void
PlainPlayer::ScheduleCall()
{
  m_nextCallMs += DrawPause(1000.0 / m_load.perSecond);
  Later(m_start + Duration(static_cast<std::int64_t>(m_nextCallMs)), [this] {
    ScheduleCall();
    Call();
  });
}

void
PlainPlayer::Call()
{
  PlaceRequest request;
  request.route = &m_route;
  request.work = &m_noWork;
  request.service = "plain";
  request.key = base::HashName("call" + std::to_string(++m_calls));
  request.timeLeft = 1500ms;
  auto& fleet = *m_fleets[static_cast<std::size_t>(
    Draw() * static_cast<double>(m_fleets.size()))];
  fleet.Arrived(request, m_now);
  const auto place = fleet.Place(request, m_now);
  const bool counts = m_now - m_start >= m_load.warmUp;
  const auto count = [counts](int& aWhat) { aWhat += counts ? 1 : 0; };
  count(m_result.asked);
  if (place.outcome != PlaceOutcome::Placed) {
    count(m_result.refusedByRouter);
    return;
  }
  const auto work =
    Duration(static_cast<std::int64_t>(DrawPause(m_load.serviceMs)));
  const auto end = m_services.at(place.upstreamId).Take(work, m_now);
  if (!end) {
    count(m_result.refusedByUpstream);
    fleet.Ended(place.attempt, AttemptEnd::Refused, m_now);
    return;
  }
  count(*end - m_now <= m_load.target ? m_result.inTime : m_result.late);
  Later(*end, [this, &fleet, attempt = place.attempt] {
    fleet.Ended(attempt, AttemptEnd::Answered, m_now);
  });
}

PlainResult
PlainPlayer::Run()
{
  for (std::size_t i = 0; i < m_fleets.size(); ++i) {
    const auto offset = static_cast<std::int64_t>(
      Draw() * static_cast<double>(kReportPeriod.count()));
    Later(m_now + Duration(offset), [this, i] { Report(i); });
  }
  ScheduleCall();
  while (m_now - m_start < m_load.length) {
    auto event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.what();
  }
  return m_result;
}

}

PlainResult
PlayPlain(const PlainLoad& aLoad, std::uint32_t aSeed)
{
  return PlainPlayer(aLoad, aSeed).Run();
}

}
