#pragma once

#include "base/basetypes.h"
#include "soak/promises.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace hemlockgauge::soak {

//! What evacuated zones and cold upstreams are promised, as upstreams see it.
class ZoneWatch
{
public:
  //! Of any second, to a cold upstream from all routers.
  static constexpr std::size_t kColdLimit = 11;

  explicit ZoneWatch(Promises& aPromises)
    : m_promises(aPromises)
  {
  }

  void Evacuated(const std::string& aZone, base::TimePoint aNow);
  void Restored(const std::string& aZone);
  //! Also of one that starts cold.
  void TurnedCold(const std::string& aUpstream, base::TimePoint aUntil);
  //! A request began to run.
  void Ran(const std::string& aUpstream,
           const std::string& aZone,
           const std::string& aRequest,
           base::TimePoint aNow);

private:
  struct Cold
  {
    base::TimePoint until{};
    std::deque<base::TimePoint> ran; //!< in the last second
  };

  Promises& m_promises;
  std::map<std::string, base::TimePoint> m_evacuatedAt; //!< by zone
  std::map<std::string, Cold> m_cold;                   //!< by upstream
};

}
