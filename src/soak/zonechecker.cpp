#include "soak/zonechecker.h"

#include <fmt/format.h>

namespace hemlockgauge::soak {

namespace {

using namespace std::chrono_literals;

//! Time after the start of an evacuation until no new request may reach the
//! zone, including delays of a busy test machine and a faulty store.
constexpr base::Duration kEvacuationBound = 6000ms;
constexpr base::Duration kSecond = 1000ms;

}

void
ZoneChecker::Evacuated(const std::string& aZone, base::TimePoint aNow)
{
  m_evacuatedAt.emplace(aZone, aNow);
}

void
ZoneChecker::Restored(const std::string& aZone)
{
  m_evacuatedAt.erase(aZone);
}

void
ZoneChecker::TurnedCold(const std::string& aUpstream, base::TimePoint aUntil)
{
  m_cold[aUpstream].until = aUntil;
}

void
ZoneChecker::RecordRun(const std::string& aUpstream,
                       const std::string& aZone,
                       const std::string& aRequest,
                       base::TimePoint aNow)
{
  const auto evacuated = m_evacuatedAt.find(aZone);
  if (evacuated != m_evacuatedAt.end()) {
    m_guarantees.Check(
      Guarantee::NoWorkInEvacuatedZone,
      aNow - evacuated->second < kEvacuationBound,
      fmt::format("{} reached {} in {} too long after the zone's evacuation",
                  aRequest,
                  aUpstream,
                  aZone));
  }
  const auto cold = m_cold.find(aUpstream);
  if (cold == m_cold.end() || aNow >= cold->second.until) {
    return;
  }
  auto& recentStarts = cold->second.recentStarts;
  recentStarts.push_back(aNow);
  while (aNow - recentStarts.front() >= kSecond) {
    recentStarts.pop_front();
  }
  m_guarantees.Check(
    Guarantee::ColdUpstreamLimited,
    recentStarts.size() <= kMaxColdRequestsPerSecond,
    fmt::format("{} requests in one second at the cold upstream {}",
                recentStarts.size(),
                aUpstream));
}

}
