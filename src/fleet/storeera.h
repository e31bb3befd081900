#pragma once

#include "fleet/fleettypes.h"

#include <cstdint>
#include <optional>

namespace hemlockgauge::fleet {

//! Whether what the platform's store answers is what it acknowledged last. A
//! store that comes back from a copy, in a new era, has lost its last writes
//! until they are written again; revisions of the era before say nothing.
class StoreEra
{
public:
  //! An answer of the store. False: it is of an earlier era than the known one.
  bool Seen(std::uint64_t aEra, TimePoint aNow);
  //! What another router tells: aAge since it saw the era begin.
  void Told(std::uint64_t aEra, Duration aAge, TimePoint aNow);

  std::uint64_t Era() const { return m_era.value_or(0); }
  //! When what was lost has been written again.
  TimePoint SettledAt() const;
  bool IsSettled(TimePoint aNow) const { return aNow >= SettledAt(); }
  //! Since the era was seen to begin; nothing if it wasn't seen lately.
  std::optional<Duration> Age(TimePoint aNow) const;

private:
  std::optional<std::uint64_t> m_era;
  std::optional<TimePoint> m_beganAt; //!< nothing: before this router started
};

}
