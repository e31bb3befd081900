#pragma once

#include "base/basetypes.h"
#include "soak/rawcaller.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hemlockgauge::soak {

struct CallerShared;

//! Callers beside the others that keep to the size limits but send odd
//! requests, stall in the middle of them, and read late or not at all.
class OddCallers
{
public:
  OddCallers(CallerShared& aShared, std::uint64_t aSeed);
  ~OddCallers();

  //! Whether a request is one of these callers'. What becomes of it is not
  //! checked.
  static bool Sent(const std::string& aRequestId);

  //! Adds callers, and lets those leave whose time is over.
  void Tick(base::TimePoint aNow);
  //! Lets all leave, for good.
  void Stop();
  std::uint64_t Count() const { return m_count; }

private:
  struct Caller
  {
    std::unique_ptr<RawCaller> connection;
    base::TimePoint leavesAt{};
  };

  void Add(base::TimePoint aNow);

  CallerShared& m_shared;
  std::mt19937_64 m_random;
  std::vector<Caller> m_callers;
  base::TimePoint m_nextAt{};
  std::uint64_t m_count = 0;
  bool m_isStopped = false;
};

}
