#include "fleet/evacuations.h"

namespace hemlockgauge::fleet {

std::vector<ZoneNotice>
Evacuations::Put(const Evacuation& aEvacuation, TimePoint aNow)
{
  const auto [found, isNew] =
    m_zones.try_emplace(aEvacuation.zone, Entry{ aEvacuation, aNow, true });
  auto& entry = found->second;
  entry.isReported = true;
  if (aEvacuation.revision > entry.evacuation.revision) {
    entry.evacuation = aEvacuation;
    entry.learnedAt = aNow;
  }
  return isNew ? std::vector{ ZoneNotice{ aEvacuation, ZoneChange::Evacuated } }
               : std::vector<ZoneNotice>{};
}

void
Evacuations::Remove(const std::string& aZone)
{
  const auto found = m_zones.find(aZone);
  if (found != m_zones.end()) {
    found->second.isReported = false;
  }
}

std::vector<ZoneNotice>
Evacuations::Replace(const std::vector<Evacuation>& aAll, TimePoint aNow)
{
  for (auto& [zone, entry] : m_zones) {
    entry.isReported = false;
  }
  std::vector<ZoneNotice> notices;
  for (const auto& evacuation : aAll) {
    for (const auto& notice : Put(evacuation, aNow)) {
      notices.push_back(notice);
    }
  }
  return notices;
}

std::vector<ZoneNotice>
Evacuations::Proven(TimePoint aAt)
{
  std::vector<ZoneNotice> notices;
  std::erase_if(m_zones, [&](const auto& aZoneEntry) {
    const auto& entry = aZoneEntry.second;
    const bool isEnded = !entry.isReported && aAt >= entry.learnedAt;
    if (isEnded) {
      notices.push_back({ entry.evacuation, ZoneChange::Restored });
    }
    return isEnded;
  });
  return notices;
}

std::vector<Evacuation>
Evacuations::InForce() const
{
  std::vector<Evacuation> all;
  for (const auto& [zone, entry] : m_zones) {
    all.push_back(entry.evacuation);
  }
  return all;
}

}
