#pragma once

#include "base/basetypes.h"

namespace hemlockgauge::eventloop {

//! For how long a loop has found something to do each time it looked. What
//! arrives meanwhile waits unseen, in the kernel's queues of new connections
//! and unread bytes, at most for so long.
class BusyMeter
{
public:
  explicit BusyMeter(base::TimePoint aNow)
    : m_restedAt(aNow)
    , m_now(aNow)
  {
  }

  //! The loop looked for work at aNow, without waiting.
  void Looked(bool aFound, base::TimePoint aNow)
  {
    m_now = aNow;
    if (!aFound) {
      m_restedAt = aNow;
    }
  }
  base::Duration BusyFor() const { return m_now - m_restedAt; }

private:
  base::TimePoint m_restedAt;
  base::TimePoint m_now;
};

}
