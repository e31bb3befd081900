#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

using base::TimePoint;

//! An availability zone whose upstreams are to get nothing new.
struct Evacuation
{
  std::string zone;
  std::uint64_t revision = 0; //!< of the store, when it was written

  bool operator==(const Evacuation&) const = default;
};

enum class ZoneChange : std::uint8_t
{
  Evacuated,
  Restored
};
inline constexpr auto kZoneChangeNames =
  base::MakeEnumNames<ZoneChange>("evacuated", "restored");

struct ZoneNotice
{
  Evacuation evacuation;
  ZoneChange change = ZoneChange::Evacuated;
};

//! The evacuations in force. One counts as soon as any source tells it. It
//! ends only with proof from after the moment at which it was learned: a
//! source that is cut off from the store may not know of it yet.
class Evacuations
{
public:
  std::vector<ZoneNotice> Put(const Evacuation& aEvacuation, TimePoint aNow);
  void Remove(const std::string& aZone);
  //! All that the source tells now; what is missing ends with its proof.
  std::vector<ZoneNotice> Replace(const std::vector<Evacuation>& aAll,
                                  TimePoint aNow);
  //! What was told held at aAt.
  std::vector<ZoneNotice> Proven(TimePoint aAt);

  bool Contains(const std::string& aZone) const
  {
    return m_zones.contains(aZone);
  }
  //! By zone.
  std::vector<Evacuation> InForce() const;

private:
  struct Known
  {
    Evacuation evacuation;
    TimePoint learnedAt{};
    bool told = true; //!< by the source that is followed now
  };

  std::map<std::string, Known> m_zones;
};

}
