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

namespace hemlockgauge::eventloop {

class IIoHandler;

//! Event loop of one thread: sockets and timers. Sockets are polled with epoll
//! directly, because ACE's poll reactor makes three system calls per event,
//! too many for a router on a quarter of a core. Timers use ACE's timer heap.
class EventLoop : public timer::ITimerService
{
public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  //! Calls aHandler when an event of aEvents (epoll flags) occurs. Throws
  //! Error(Internal) if epoll rejects the descriptor.
  void Add(int aDescriptor, IIoHandler& aHandler, std::uint32_t aEvents);
  void Modify(int aDescriptor, std::uint32_t aEvents);
  //! Stops polling the descriptor and drops its events that were fetched but
  //! not yet handled.
  void Remove(int aDescriptor);
  //! Like Remove, for a descriptor that is closed right afterwards: closing it
  //! removes it from epoll and saves a system call.
  void RemoveBeforeClose(int aDescriptor);

  void SchedulePeriodic(base::Duration aPeriod,
                        std::function<void()> aCallback) override;
  //! Calls aCallback at aFirst, and then each time at the time point that the
  //! previous call returned. A task without work to do for a while thus does
  //! not wake the process up.
  void ScheduleSelfTimed(base::TimePoint aFirst,
                         std::function<base::TimePoint()> aCallback);
  //! Adds a task that runs once after each call of ScheduleOnce.
  ACE_Event_Handler& AddTask(std::function<void()> aCallback);
  //! Runs a task of AddTask at aAt. Must not be called while the task is
  //! scheduled, except by the task itself.
  void ScheduleOnce(ACE_Event_Handler& aTask, base::TimePoint aAt);
  //! The time is read after each poll and stays the same until the next one.
  base::TimePoint Now() const override { return m_now; }

  //! Duration of the previous iteration, without its wait for events. Data
  //! read in this iteration may have waited that long.
  base::Duration LastIterationTime() const { return m_lastIterationTime; }

  //! For how long every poll has found events.
  base::Duration BusyFor() const { return m_busy.BusyFor(); }

  //! Runs aTask at the end of this iteration, after its events and timers.
  //! Use it to delete an object while one of its methods is on the stack.
  void Defer(std::function<void()> aTask);

  //! Deletes an object at the end of this iteration.
  template<typename Object>
  void DeleteLater(std::unique_ptr<Object> aObject)
  {
    auto holder = std::make_shared<std::unique_ptr<Object>>(std::move(aObject));
    Defer([holder] { holder->reset(); });
  }

  //! Number of exceptions that left a callback. Each is logged and ends only
  //! what the callback was doing.
  std::uint64_t CallbackFailures() const { return m_callbackFailures; }

  //! Runs iterations until Stop is called.
  void Run();
  //! Runs one iteration: polls, handles events, timers and deferred tasks.
  void RunOnce();
  void Stop() { m_stopped = true; }

private:
  //! A descriptor number may be reused within one iteration. The generation
  //! distinguishes events of the old registration from those of the new one.
  struct Registration
  {
    IIoHandler* handler = nullptr;
    std::uint32_t generation = 0;
  };

  //! Calls aCallback; returns false if an exception left it.
  template<typename Callback>
  bool Guard(const char* aWhere, const Callback& aCallback);
  void HandleIo(IIoHandler& aHandler, std::uint32_t aEvents);
  int PollTimeoutMs() const;
  void RunDeferred();

  int m_epoll;
  base::TimePoint m_now{};
  base::Duration m_lastIterationTime{};
  BusyMeter m_busy{ m_now };
  bool m_stopped = false;
  std::uint64_t m_callbackFailures = 0;
  std::uint32_t m_nextGeneration = 1;
  std::vector<Registration> m_registrations;
  std::vector<std::function<void()>> m_deferred;
  std::vector<std::unique_ptr<ACE_Event_Handler>> m_timers;
  ACE_Timer_Heap m_timerQueue;
};

}
