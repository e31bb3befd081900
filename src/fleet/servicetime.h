#pragma once

#include "fleet/fleetconstants.h"

#include <cstdint>

namespace hemlockgauge::fleet {

//! How long a plain service takes for an answer, over all its upstreams.
class ServiceTime
{
public:
  double Millis() const { return m_millis; }
  void Learn(double aMillis)
  {
    m_millis =
      m_known ? m_millis + kServiceGain * (aMillis - m_millis) : aMillis;
    m_known = true;
  }

private:
  double m_millis = kServicePriorMs;
  bool m_known = false;
};

//! The same for one upstream. With few answers it is taken to be like its
//! service: otherwise the first one that answered would get all the work.
class UpstreamTime
{
public:
  double Millis(const ServiceTime& aService) const
  {
    const double own = m_answers;
    return (own * m_millis + kServiceWeight * aService.Millis()) /
           (own + kServiceWeight);
  }
  void Learn(double aMillis)
  {
    m_millis =
      m_answers == 0 ? aMillis : m_millis + kServiceGain * (aMillis - m_millis);
    m_answers++;
  }

private:
  double m_millis = 0;
  std::uint32_t m_answers = 0;
};

}
