#include "soak/zonewatch.h"

#include <fmt/format.h>

namespace hemlockgauge::soak {

namespace {

using namespace std::chrono_literals;

//! Until nothing new may come, with what a busy test machine and a store that
//! is in trouble add.
constexpr base::Duration kEvacuationBound = 6000ms;
constexpr base::Duration kSecond = 1000ms;

}

void
ZoneWatch::Evacuated(const std::string& aZone, base::TimePoint aNow)
{
  m_evacuatedAt.emplace(aZone, aNow);
}

void
ZoneWatch::Restored(const std::string& aZone)
{
  m_evacuatedAt.erase(aZone);
}

void
ZoneWatch::TurnedCold(const std::string& aUpstream, base::TimePoint aUntil)
{
  m_cold[aUpstream].until = aUntil;
}

void
ZoneWatch::Ran(const std::string& aUpstream,
               const std::string& aZone,
               const std::string& aRequest,
               base::TimePoint aNow)
{
  const auto evacuated = m_evacuatedAt.find(aZone);
  if (evacuated != m_evacuatedAt.end()) {
    m_promises.Check(
      Promise::NothingToEvacuated,
      aNow - evacuated->second < kEvacuationBound,
      fmt::format("{} reached {} in {} long after its evacuation",
                  aRequest,
                  aUpstream,
                  aZone));
  }
  const auto cold = m_cold.find(aUpstream);
  if (cold == m_cold.end() || aNow >= cold->second.until) {
    return;
  }
  auto& ran = cold->second.ran;
  ran.push_back(aNow);
  while (aNow - ran.front() >= kSecond) {
    ran.pop_front();
  }
  m_promises.Check(
    Promise::ColdIsSpared,
    ran.size() <= kColdLimit,
    fmt::format("{} in a second at {}, which is cold", ran.size(), aUpstream));
}

}
