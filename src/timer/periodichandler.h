#pragma once

#include <ace/Event_Handler.h>
#include <ace/Time_Value.h>

#include <functional>

namespace hemlockgauge::timer {

//! Calls a function at each timeout of an ACE timer queue or reactor.
class PeriodicHandler : public ACE_Event_Handler
{
public:
  explicit PeriodicHandler(std::function<void()> aCallback)
    : m_callback(std::move(aCallback))
  {
  }

  //! Must not be called from the callback.
  void SetCallback(std::function<void()> aCallback)
  {
    m_callback = std::move(aCallback);
  }

  int handle_timeout(const ACE_Time_Value&, const void*) override
  {
    m_callback();
    return 0;
  }

private:
  std::function<void()> m_callback;
};

}
