#pragma once

#include "fleet/fleet.h"
#include "fleet/fleetconstants.h"

#include <string>
#include <utility>
#include <vector>

namespace hemlockgauge::fleet {

inline constexpr std::uint32_t kPromptTokens = 3000;

inline ConfigPtr
Config(std::uint64_t aVersion = 1, double aTokensPerSecond = 0)
{
  auto config = std::make_shared<FleetConfig>();
  config->version = aVersion;
  config->tokensPerSecond = aTokensPerSecond;
  Service service;
  service.name = "engines";
  service.engineSlots = 64;
  config->services["engines"] = service;
  service.name = "plain";
  service.engineSlots = 0;
  config->services["plain"] = service;
  return config;
}

inline FleetSettings
BenchSettings()
{
  FleetSettings settings;
  settings.router = "r1";
  settings.zone = "zone-a";
  settings.life = 1;
  return settings;
}

//! One router over some upstreams, and the means to ask it.
struct Bench
{
  Bench()
    : fleet(BenchSettings())
  {
    route.kind = CallKind::Stream;
    route.target = 800ms;
    fleet.SetConfig(Config());
  }

  void List(int aEngines, int aPlain = 0, const std::string& aPrefix = "u")
  {
    std::vector<UpstreamEntry> entries;
    for (int i = 0; i < aEngines + aPlain; ++i) {
      UpstreamEntry entry;
      entry.id = aPrefix + std::to_string(i);
      entry.service = i < aEngines ? "engines" : "plain";
      entry.slots = i < aEngines ? 64 : 6;
      entry.zone = "zone-a";
      entries.push_back(entry);
    }
    fleet.Upstreams().Replace(entries, now);
    fleet.FollowUpstreams(now);
  }

  //! One engine that started at aStartedAt.
  void ListOne(std::uint64_t aStartedAt)
  {
    UpstreamEntry entry;
    entry.id = "u0";
    entry.service = "engines";
    entry.slots = 64;
    entry.zone = "zone-a";
    entry.startedAt = aStartedAt;
    fleet.Upstreams().Put(entry);
    fleet.FollowUpstreams(now);
  }

  PlaceRequest Ask(std::uint64_t aPrefix,
                   const std::string& aWorkspace = "w",
                   std::uint32_t aTokens = kPromptTokens)
  {
    work = Work{};
    work.promptTokens = aTokens;
    work.outputTokens = 50;
    work.prompt = { { aPrefix, aTokens / 2 }, { ++lastOwn, aTokens / 2 } };
    PlaceRequest request;
    request.route = &route;
    request.work = &work;
    request.service = "engines";
    request.workspace = WorkspaceIdOf(aWorkspace);
    request.key = lastOwn;
    request.timeLeft = 6000ms;
    return request;
  }

  PlaceResult Place(const PlaceRequest& aRequest)
  {
    fleet.Arrived(aRequest, now);
    return fleet.Place(aRequest, now);
  }

  Fleet fleet;
  Route route;
  Work work;
  TimePoint now{ 100000 };
  std::uint64_t lastOwn = 1000000;
};

//! First tokens that come as foreseen, or so much later.
class EnginesThatRead
{
public:
  explicit EnginesThatRead(Duration aLate = Duration{})
    : m_late(aLate)
  {
  }

  void Begin(const PlaceResult& aPlace, TimePoint aNow)
  {
    if (aPlace.outcome != PlaceOutcome::Placed) {
      return;
    }
    const auto wait = Duration(static_cast<std::int64_t>(aPlace.foreseenMs));
    m_reading.emplace_back(aNow + wait + m_late, aPlace.attempt);
  }

  void Finish(Bench& aBench)
  {
    std::erase_if(m_reading, [&](const auto& aOne) {
      if (aOne.first > aBench.now) {
        return false;
      }
      aBench.fleet.FirstToken(aOne.second, aBench.now);
      aBench.fleet.Ended(aOne.second, AttemptEnd::Answered, aBench.now);
      return true;
    });
  }

private:
  Duration m_late;
  std::vector<std::pair<TimePoint, AttemptId>> m_reading;
};

}
