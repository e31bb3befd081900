#include "crashingfleet.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

constexpr Duration kLookPeriod{ 20 };
constexpr Duration kUntilLapse{ 2400 }; //!< of a crashed engine's entry
constexpr Duration kUntilReplaced{ 3000 };
constexpr Duration kNewsDelay{ 5 };
constexpr Duration kUntilAgain{ 200 };
constexpr std::size_t kMostRuns = 2; //!< of one request

ConfigPtr
EnginesOnly()
{
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  Service service;
  service.name = "engines";
  service.engineSlots = 64;
  config->services["engines"] = service;
  return config;
}

}

CrashingFleet::CrashingFleet(std::size_t aRouters, int aEngines)
  : m_routers(kNewsDelay)
{
  m_route.kind = CallKind::Stream;
  m_route.resumable = true;
  m_route.target = Duration(500);
  m_work.promptTokens = 400;
  m_work.outputTokens = 20;
  m_work.prompt = { { 1, 300 }, { 2, 100 } };
  for (int i = 0; i < aEngines; ++i) {
    AddEngine();
  }
  for (std::size_t i = 0; i < aRouters; ++i) {
    StartRouter();
  }
}

std::size_t
CrashingFleet::StartRouter()
{
  const auto number = m_routers.Size();
  auto& fleet = m_routers.Add({ "r" + std::to_string(number), "zone-a", 1 });
  fleet.SetConfig(EnginesOnly());
  FollowList(fleet);
  m_routers.StartReports(number,
                         Duration(static_cast<std::int64_t>(7 * number) % 100));
  Look(number);
  return number;
}

void
CrashingFleet::FollowList(Fleet& aFleet)
{
  std::vector<UpstreamEntry> entries;
  for (const auto& [id, entry] : m_listed) {
    entries.push_back(entry);
  }
  aFleet.Upstreams().Replace(entries, Now());
  aFleet.FollowUpstreams(Now());
}

void
CrashingFleet::AddEngine()
{
  UpstreamEntry entry;
  entry.id = "e" + std::to_string(m_engines++);
  entry.service = "engines";
  entry.slots = 64;
  entry.zone = "zone-a";
  m_listed[entry.id] = entry;
  m_alive.insert(UpstreamIdOf(entry));
  for (std::size_t i = 0; i < m_routers.Size(); ++i) {
    FollowList(m_routers.At(i));
  }
}

std::vector<std::string>
CrashingFleet::Engines() const
{
  std::vector<std::string> alive;
  for (const auto& [id, entry] : m_listed) {
    if (IsAlive(UpstreamIdOf(entry))) {
      alive.push_back(id);
    }
  }
  return alive;
}

bool
CrashingFleet::IsAlive(UpstreamId aUpstream) const
{
  return m_alive.contains(aUpstream);
}

//! Each router looks by itself whether engines still listen.
void
CrashingFleet::Look(std::size_t aRouter)
{
  auto& fleet = m_routers.At(aRouter);
  for (const auto& due : fleet.UpstreamsToCheck(Now())) {
    fleet.Checked(due.upstream,
                  IsAlive(due.upstream) ? quarantine::CheckResult::Lives
                                        : quarantine::CheckResult::Crashed,
                  Now());
  }
  m_routers.Later(Now() + kLookPeriod, [this, aRouter] { Look(aRouter); });
}

void
CrashingFleet::Come(std::size_t aRouter,
                    RequestFingerprint aRequest,
                    Duration aRuns)
{
  Running run;
  run.router = aRouter;
  run.request = aRequest;
  run.runs = aRuns;
  Send(run);
}

void
CrashingFleet::ComeCrashing(std::size_t aRouter, RequestFingerprint aRequest)
{
  Running run;
  run.router = aRouter;
  run.request = aRequest;
  run.runs = kUntilCrash;
  run.crashes = true;
  Send(run);
}

void
CrashingFleet::Send(Running aRun)
{
  PlaceRequest request;
  request.route = &m_route;
  request.work = &m_work;
  request.service = "engines";
  request.key = ++m_requests;
  request.fingerprint = aRun.request;
  request.timeLeft = Duration(4000);
  request.avoid = aRun.tried;
  request.admitted = !aRun.tried.empty();
  const auto place = m_routers.At(aRun.router).Place(request, Now());
  if (place.outcome != PlaceOutcome::Placed) {
    m_refused += aRun.crashes ? 0 : 1;
    return;
  }
  if (aRun.crashes) {
    m_sends.push_back(Now());
  }
  aRun.attempt = place.attempt;
  aRun.upstream = place.upstream;
  aRun.tried.push_back(place.upstream);
  if (!IsAlive(place.upstream)) {
    m_routers.At(aRun.router)
      .Ended(aRun.attempt, AttemptEnd::Unreachable, Now());
    Send(aRun); // what was never sent is tried elsewhere at once
    return;
  }
  m_runs.push_back(aRun);
  const auto attempt = aRun.attempt;
  const auto router = aRun.router;
  m_routers.Later(Now() + aRun.runs, [this, router, attempt] {
    const auto run =
      std::find_if(m_runs.begin(), m_runs.end(), [&](const Running& aOne) {
        return aOne.router == router && aOne.attempt == attempt;
      });
    if (run != m_runs.end()) {
      End(run);
    }
  });
}

void
CrashingFleet::End(std::list<Running>::iterator aRun)
{
  if (aRun->crashes) {
    m_crashes.push_back(Now());
    CrashUnder(aRun->upstream);
    return;
  }
  m_served++;
  m_routers.At(aRun->router).Ended(aRun->attempt, AttemptEnd::Answered, Now());
  m_runs.erase(aRun);
}

void
CrashingFleet::Crash(const std::string& aEngine)
{
  CrashUnder(UpstreamIdOf(m_listed.at(aEngine)));
}

void
CrashingFleet::CrashUnder(UpstreamId aUpstream)
{
  m_alive.erase(aUpstream);
  std::vector<Running> broken;
  std::erase_if(m_runs, [&](const Running& aRun) {
    const bool there = aRun.upstream == aUpstream;
    if (there) {
      broken.push_back(aRun);
    }
    return there;
  });
  for (const auto& run : broken) {
    Broken(run);
  }
  for (const auto& [id, entry] : m_listed) {
    if (UpstreamIdOf(entry) == aUpstream) {
      m_routers.Later(Now() + kUntilLapse, [this, id = id] { Remove(id); });
    }
  }
  m_routers.Later(Now() + kUntilReplaced, [this] { AddEngine(); });
}

void
CrashingFleet::Broken(const Running& aRun)
{
  m_routers.At(aRun.router).Ended(aRun.attempt, AttemptEnd::Broken, Now());
  if (aRun.tried.size() < kMostRuns) {
    Send(aRun);
  } else if (!aRun.crashes) {
    const auto router = (aRun.router + 1) % m_routers.Size();
    m_routers.Later(Now() + kUntilAgain,
                    [this, router, request = aRun.request, runs = aRun.runs] {
                      Come(router, request, runs);
                    });
  }
}

void
CrashingFleet::Remove(const std::string& aEngine)
{
  m_listed.erase(aEngine);
  for (std::size_t i = 0; i < m_routers.Size(); ++i) {
    FollowList(m_routers.At(i));
  }
}

}
