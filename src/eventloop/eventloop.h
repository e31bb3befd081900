#pragma once

#include "base/basetypes.h"
#include "eventloop/busymeter.h"
#include "timer/itimerservice.h"

#include <ace/Event_Handler.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Timer_Heap.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace hemlockgauge::timer {
class PeriodicHandler;
}

namespace hemlockgauge::eventloop {

class IIoHandler;

//! One thread's sockets and timers. Sockets are polled with epoll directly:
//! ACE's poll reactor takes three system calls for each event, and a router
//! on a quarter of a core pays for every one. Timers are ACE's.
class EventLoop : public timer::ITimerService
{
public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  //! Throws Error(Internal) if the descriptor can't be polled.
  void Add(int aDescriptor, IIoHandler& aHandler, std::uint32_t aEvents);
  void Modify(int aDescriptor, std::uint32_t aEvents);
  //! Events of the descriptor that are already fetched are dropped.
  void Remove(int aDescriptor);
  //! The same right before the descriptor is closed, which ends its polling
  //! without a call of its own.
  void RemoveClosing(int aDescriptor);

  void Subscribe(base::Duration aPeriod,
                 std::function<void()> aCallback) override;
  //! Taken once for each round of the loop.
  base::TimePoint Now() const override { return m_now; }

  //! How long the last round took: what is read in this one may have waited
  //! as long.
  base::Duration LastRound() const { return m_lastRound; }

  //! How long it has had something to do without a rest.
  base::Duration BusyFor() const { return m_busy.BusyFor(); }

  //! Runs aTask when the events of this round are done with. Objects that
  //! a callback is still inside of are deleted this way.
  void Defer(std::function<void()> aTask);

  //! Deletes an object at the end of this round.
  template<typename Object>
  void DeleteLater(std::unique_ptr<Object> aObject)
  {
    auto holder = std::make_shared<std::unique_ptr<Object>>(std::move(aObject));
    Defer([holder] { holder->reset(); });
  }

  //! Returns when Stop was called.
  void Run();
  void RunOnce();
  void Stop() { m_stopped = true; }

private:
  //! A descriptor number may be used again within one round; the
  //! generation tells the old registration's events from the new one's.
  struct Registration
  {
    IIoHandler* handler = nullptr;
    std::uint32_t generation = 0;
  };

  int WaitMillis() const;
  void RunDeferred();

  int m_poll;
  base::TimePoint m_now{};
  base::Duration m_lastRound{};
  BusyMeter m_busy{ m_now };
  bool m_stopped = false;
  std::uint32_t m_nextGeneration = 1;
  std::vector<Registration> m_registrations;
  std::vector<std::function<void()>> m_deferred;
  std::vector<std::unique_ptr<timer::PeriodicHandler>> m_timers;
  ACE_Timer_Heap m_queue;
};

}
