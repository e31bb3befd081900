#pragma once

#include "fleet/fleettypes.h"

namespace hemlockgauge::fleet {

//! Learns how many requests an upstream takes at once, from refusals by which
//! it also asked for a pause.
//!
//! A pause takes the upstream away from this router for seconds, and its load
//! goes to the other upstreams, which then refuse requests too. The limit is
//! therefore set below the number of requests at the refusal and grows slowly,
//! by the same ratio in each time that a pause takes. An upstream that refuses
//! beyond its slots still gets as many requests as it has slots, or a short
//! queue would leave slots idle.
class ConcurrencyLimit
{
public:
  //! aRunning: requests that the upstream ran, of all routers, including the
  //! refused one. aSlots: requests that it runs at once.
  void Refused(std::uint32_t aRunning,
               std::uint32_t aSlots,
               Duration aPause,
               TimePoint aNow);
  //! Whether the upstream may get one more request than aRunning.
  bool Allows(std::uint32_t aRunning, TimePoint aNow) const;
  //! Whether any limit was learned.
  bool IsSet() const { return m_limit > 0; }

private:
  double At(TimePoint aNow) const;

  double m_limit = 0; //!< at m_growsFrom; 0: none
  TimePoint m_growsFrom{};
  Duration m_pause{};
};

}
