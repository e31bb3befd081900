#pragma once

#include "fleet/fleetconstants.h"

#include <cstdint>

namespace hemlockgauge::fleet {

//! Exponential moving average of the time that a plain service takes for an
//! answer, over all its upstreams.
class ServiceTime
{
public:
  //! The mean in ms, or kInitialServiceMs before the first answer.
  double MeanMs() const { return m_millis; }
  void Learn(double aMillis)
  {
    m_millis = m_hasSample ? m_millis + kServiceTimeGain * (aMillis - m_millis)
                           : aMillis;
    m_hasSample = true;
  }

private:
  double m_millis = kInitialServiceMs;
  bool m_hasSample = false;
};

//! The average for one upstream of a plain service. While it has few answers,
//! the service's average outweighs its own; otherwise the first upstream that
//! answered would get all requests.
class UpstreamServiceTime
{
public:
  //! The mean in ms, weighted with that of aService.
  double MeanMs(const ServiceTime& aService) const
  {
    const double answers = m_answers;
    return (answers * m_millis + kServiceTimePriorWeight * aService.MeanMs()) /
           (answers + kServiceTimePriorWeight);
  }
  void Learn(double aMillis)
  {
    m_millis = m_answers == 0
                 ? aMillis
                 : m_millis + kServiceTimeGain * (aMillis - m_millis);
    m_answers++;
  }

private:
  double m_millis = 0;
  std::uint32_t m_answers = 0;
};

}
