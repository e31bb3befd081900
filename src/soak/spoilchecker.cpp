#include "soak/spoilchecker.h"

#include <fmt/format.h>

namespace hemlockgauge::soak {

namespace {

//! Time in which each router meets the failures that eject an engine.
constexpr base::Duration kDetectionTime(1000);
//! Fewer requests are not judged.
constexpr std::uint64_t kMinRequests = 20;

}

void
SpoilChecker::SetPeriod(base::TimePoint aFrom, base::TimePoint aUntil)
{
  m_from = aFrom;
  m_until = aUntil;
}

void
SpoilChecker::FaultInjected(const std::string& aRequestId)
{
  m_faulty.insert(aRequestId);
}

void
SpoilChecker::Ended(bool aIsServed,
                    base::TimePoint aStartedAt,
                    base::TimePoint aNow)
{
  if (IsInPeriod(aStartedAt) && IsInPeriod(aNow)) {
    m_sound++;
    m_soundServed += aIsServed ? 1 : 0;
  }
}

void
SpoilChecker::EngineBeginsToSpoil(std::uint32_t aEngines, base::TimePoint aNow)
{
  m_engines = aEngines;
  m_spoilsFrom = aNow;
}

void
SpoilChecker::EngineGotRequest(bool aIsSpoiling, base::TimePoint aNow)
{
  const bool isDetected =
    m_spoilsFrom && aNow - *m_spoilsFrom >= kDetectionTime;
  if (!isDetected || !IsInPeriod(aNow)) {
    return;
  }
  m_engineRequests++;
  m_spoiledRequests += aIsSpoiling ? 1 : 0;
  m_equalShare += 1.0 / m_engines;
}

void
SpoilChecker::Finish(std::uint32_t aUpstreams)
{
  if (m_engineRequests >= kMinRequests) {
    m_guarantees.Check(
      Guarantee::SpoiledEngineSpared,
      static_cast<double>(m_spoiledRequests) <= m_equalShare,
      fmt::format("{} of {} requests reached engines that spoil all answers",
                  m_spoiledRequests,
                  m_engineRequests));
  }
  const double left = 1.0 - 1.0 / aUpstreams;
  m_guarantees.Check(
    Guarantee::SoundServed,
    m_sound > 0 &&
      static_cast<double>(m_soundServed) >= left * static_cast<double>(m_sound),
    fmt::format("{} of {} sound requests were served", m_soundServed, m_sound));
}

std::string
SpoilChecker::Summary() const
{
  return fmt::format("beside spoiled answers: sound requests served {} of {}, "
                     "requests at spoiling engines {} of {}\n",
                     m_soundServed,
                     m_sound,
                     m_spoiledRequests,
                     m_engineRequests);
}

}
