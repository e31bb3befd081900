#pragma once

#include "base/basetypes.h"

namespace hemlockgauge::eventloop {

//! Measures for how long every poll of an event loop has found events. This
//! bounds how long new connections and unread bytes have waited in the
//! kernel's queues.
class BusyMeter
{
public:
  explicit BusyMeter(base::TimePoint aNow)
    : m_idleAt(aNow)
    , m_now(aNow)
  {
  }

  //! Records a poll without waiting at aNow; aFound: it returned events.
  void RecordPoll(bool aFound, base::TimePoint aNow)
  {
    m_now = aNow;
    if (!aFound) {
      m_idleAt = aNow;
    }
  }
  //! Time since the last poll that found nothing, or since the start.
  base::Duration BusyFor() const { return m_now - m_idleAt; }

private:
  base::TimePoint m_idleAt;
  base::TimePoint m_now;
};

}
