#pragma once

#include "base/basetypes.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hemlockgauge::gateway {

//! What callers brought to this router within some time.
struct IntakeCounts
{
  std::uint64_t accepted = 0;   //!< connections
  std::uint64_t turnedAway = 0; //!< connections closed unread
  std::uint64_t returned = 0;   //!< see CallerIntake::CountReturn
  std::uint64_t read = 0;       //!< requests
  std::uint64_t refused = 0;    //!< requests answered by this router
};

//! Counts what callers bring, for a line of the log about a busy router.
class CallerIntake
{
public:
  void CountAccepted() { m_counts.accepted++; }
  void CountRead() { m_counts.read++; }
  void CountRefused() { m_counts.refused++; }
  //! aAddress: the caller's, in host order.
  void CountTurnedAway(std::uint32_t aAddress, base::TimePoint aNow);
  //! A new connection: whether its caller was turned away here lately.
  void CountReturn(std::uint32_t aAddress, base::TimePoint aNow);
  //! What was counted since the last call.
  IntakeCounts Take();

private:
  struct TurnedAway
  {
    std::uint32_t address = 0;
    base::TimePoint at{};
  };

  static constexpr std::size_t kRemembered = 1024;

  IntakeCounts m_counts;
  std::array<TurnedAway, kRemembered> m_turnedAway{};
};

}
