#pragma once

#include "base/basetypes.h"
#include "base/enumnames.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockgauge::fleet {

using base::TimePoint;

//! An availability zone whose upstreams get no new requests.
struct Evacuation
{
  std::string zone;
  std::uint64_t revision = 0; //!< store revision at which it was written

  bool operator==(const Evacuation&) const = default;
};

//! A change of an availability zone.
enum class ZoneChange : std::uint8_t
{
  Evacuated, //!< its evacuation came into force
  Restored   //!< its evacuation ended
};
inline constexpr auto kZoneChangeNames =
  base::MakeEnumNames<ZoneChange>("evacuated", "restored");

//! An evacuation that came into force or ended.
struct ZoneNotice
{
  Evacuation evacuation;
  ZoneChange change = ZoneChange::Evacuated;
};

//! The evacuations in force. An evacuation comes into force as soon as any
//! source reports it. It ends only when a source that does not report it is
//! confirmed to be up to date with the store at a time after it was learned: a
//! source that is cut off from the store may not have received it yet.
class Evacuations
{
public:
  //! Adds or updates an evacuation that the source reports. Returns a notice if
  //! the zone was not evacuated before.
  std::vector<ZoneNotice> Put(const Evacuation& aEvacuation, TimePoint aNow);
  //! Marks a zone as no longer reported; it stays evacuated until Proven.
  void Remove(const std::string& aZone);
  //! Takes aAll as all evacuations that the source reports. Those not in it
  //! stay in force until Proven. Returns a notice for each new one.
  std::vector<ZoneNotice> Replace(const std::vector<Evacuation>& aAll,
                                  TimePoint aNow);
  //! Records that the source's state was up to date with the store at aAt. Ends
  //! the evacuations that it does not report and that were learned by aAt, and
  //! returns a notice for each.
  std::vector<ZoneNotice> Proven(TimePoint aAt);

  bool Contains(const std::string& aZone) const
  {
    return m_zones.contains(aZone);
  }
  //! Sorted by zone.
  std::vector<Evacuation> InForce() const;

private:
  struct Entry
  {
    Evacuation evacuation;
    TimePoint learnedAt{};
    bool isReported = true; //!< by the current source
  };

  std::map<std::string, Entry> m_zones;
};

}
