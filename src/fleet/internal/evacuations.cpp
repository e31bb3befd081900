#include "fleet/evacuations.h"

namespace hemlockgauge::fleet {

std::vector<ZoneNotice>
Evacuations::Put(const Evacuation& aEvacuation, TimePoint aNow)
{
  const auto [found, isNew] =
    m_zones.try_emplace(aEvacuation.zone, Known{ aEvacuation, aNow, true });
  auto& known = found->second;
  known.told = true;
  if (aEvacuation.revision > known.evacuation.revision) {
    known.evacuation = aEvacuation;
    known.learnedAt = aNow;
  }
  return isNew ? std::vector{ ZoneNotice{ aEvacuation, ZoneChange::Evacuated } }
               : std::vector<ZoneNotice>{};
}

void
Evacuations::Remove(const std::string& aZone)
{
  const auto found = m_zones.find(aZone);
  if (found != m_zones.end()) {
    found->second.told = false;
  }
}

std::vector<ZoneNotice>
Evacuations::Replace(const std::vector<Evacuation>& aAll, TimePoint aNow)
{
  for (auto& [zone, known] : m_zones) {
    known.told = false;
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
  std::erase_if(m_zones, [&](const auto& aEntry) {
    const auto& known = aEntry.second;
    const bool over = !known.told && aAt >= known.learnedAt;
    if (over) {
      notices.push_back({ known.evacuation, ZoneChange::Restored });
    }
    return over;
  });
  return notices;
}

std::vector<Evacuation>
Evacuations::InForce() const
{
  std::vector<Evacuation> all;
  for (const auto& [zone, known] : m_zones) {
    all.push_back(known.evacuation);
  }
  return all;
}

}
