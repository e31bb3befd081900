#pragma once

#include "base/basetypes.h"
#include "soak/guarantees.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace hemlockgauge::soak {

//! Checks what is served while upstreams spoil answers and nothing else fails.
class SpoilChecker
{
public:
  explicit SpoilChecker(GuaranteeChecker& aGuarantees)
    : m_guarantees(aGuarantees)
  {
  }

  //! Time in which requests are judged.
  void SetPeriod(base::TimePoint aFrom, base::TimePoint aUntil);
  //! A run of the request got a fault.
  void FaultInjected(const std::string& aRequestId);
  //! Whether no run of the request got a fault so far.
  bool IsSound(const std::string& aRequestId) const
  {
    return !m_faulty.contains(aRequestId);
  }
  //! A sound request has ended.
  void Ended(bool aIsServed, base::TimePoint aStartedAt, base::TimePoint aNow);
  //! One of aEngines now spoils all its answers.
  void EngineBeginsToSpoil(std::uint32_t aEngines, base::TimePoint aNow);
  void SpoilEnds() { m_spoilsFrom.reset(); }
  void EngineGotRequest(bool aIsSpoiling, base::TimePoint aNow);
  //! Checks the guarantees. One of aUpstreams at most spoils all its answers.
  void Finish(std::uint32_t aUpstreams);
  std::string Summary() const;

private:
  bool IsInPeriod(base::TimePoint aAt) const
  {
    return aAt >= m_from && aAt < m_until;
  }

  GuaranteeChecker& m_guarantees;
  base::TimePoint m_from{};
  base::TimePoint m_until{};
  std::set<std::string> m_faulty;
  std::optional<base::TimePoint> m_spoilsFrom;
  std::uint32_t m_engines = 1;
  std::uint64_t m_sound = 0;
  std::uint64_t m_soundServed = 0;
  std::uint64_t m_engineRequests = 0;
  std::uint64_t m_spoiledRequests = 0;
  double m_equalShare = 0; //!< of an engine in m_engineRequests
};

}
