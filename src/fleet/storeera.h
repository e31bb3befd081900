#pragma once

#include "fleet/fleettypes.h"

#include <cstdint>
#include <optional>

namespace hemlockgauge::fleet {

//! Tracks the era of the platform's store, which increases when the store is
//! restored from an older copy. A restored store lacks its most recent writes
//! until their writers repeat them, and revisions of an earlier era can't be
//! compared with those of the new one.
class StoreEra
{
public:
  //! Takes the era of an answer of the store. Returns false if it is earlier
  //! than the known era.
  bool Observe(std::uint64_t aEra, TimePoint aNow);
  //! Takes the era that another router saw begin aAge ago.
  void Learn(std::uint64_t aEra, Duration aAge, TimePoint aNow);

  //! The known era, or 0.
  std::uint64_t Era() const { return m_era.value_or(0); }
  //! Time at which lost writes have been repeated: kRewriteGracePeriod after
  //! the start of the era.
  TimePoint SettledAt() const;
  bool IsSettled(TimePoint aNow) const { return aNow >= SettledAt(); }
  //! Time since the era was seen to begin. No value if that was more than
  //! kEraReportTime ago, or before this router started.
  std::optional<Duration> Age(TimePoint aNow) const;

private:
  std::optional<std::uint64_t> m_era;
  std::optional<TimePoint> m_beganAt; //!< no value: before this router started
};

}
