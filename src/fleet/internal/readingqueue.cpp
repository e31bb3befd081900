#include "fleet/readingqueue.h"

#include "fleet/fleetconstants.h"

#include <algorithm>

namespace hemlockgauge::fleet {

namespace {

//! Most of a prompt that is taken for read before its first token comes.
constexpr double kMostTakenForRead = 0.9;
//! A first token is overdue at so many times the foreseen time and a little
//! more: the spread of forecasts of healthy engines.
constexpr double kOverdueTimes = 1.5;
constexpr double kOverdueMs = 50.0;

}

double
ReadingQueue::Reading::Left(double aNow) const
{
  if (aNow >= overdueAt || aNow <= beginsAt) {
    return tokens;
  }
  const double part = std::min((aNow - beginsAt) / readMs, kMostTakenForRead);
  return tokens * (1.0 - part);
}

void
ReadingQueue::Sent(std::uint64_t aAttempt,
                   double aTokens,
                   double aAheadMs,
                   double aReadMs,
                   TimePoint aNow)
{
  if (aTokens <= 0 || aReadMs <= 0) {
    return;
  }
  const auto now = static_cast<double>(aNow.count());
  m_readings.push_back(
    { aAttempt,
      aTokens,
      now + aAheadMs,
      aReadMs,
      now + kOverdueTimes * (aAheadMs + aReadMs) + kOverdueMs });
}

void
ReadingQueue::Done(std::uint64_t aAttempt)
{
  std::erase_if(m_readings, [&](const Reading& aReading) {
    return aReading.attempt == aAttempt;
  });
}

double
ReadingQueue::Unread(TimePoint aNow) const
{
  double unread = 0;
  for (const auto& reading : m_readings) {
    unread += reading.Left(static_cast<double>(aNow.count()));
  }
  return unread;
}

}
