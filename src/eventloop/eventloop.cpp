#include "eventloop/eventloop.h"

#include "base/error.h"
#include "base/logline.h"
#include "base/monotonicclock.h"
#include "eventloop/iiohandler.h"
#include "timer/periodichandler.h"

#include <ace/Time_Value.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>

namespace hemlockgauge::eventloop {

using base::Error;
using base::ErrorCode;

namespace {

constexpr int kMaxEventsPerPoll = 128;
constexpr int kMaxPollTimeoutMs = 1000;
//! Time until the next call of a self-timed task that failed.
constexpr base::Duration kFailedTaskDelay(100);

ACE_Time_Value
ToAce(base::TimePoint aTime)
{
  return ACE_Time_Value(
    std::chrono::duration_cast<std::chrono::microseconds>(aTime));
}

}

template<typename Callback>
bool
EventLoop::Guard(const char* aWhere, const Callback& aCallback)
{
  try {
    aCallback();
    return true;
  } catch (const std::exception& error) {
    m_callbackFailures++;
    base::LogLine("callback-failed")
      .Add("where", aWhere)
      .Add("why", error.what())
      .Error();
    return false;
  }
}

EventLoop::EventLoop()
  : m_epoll(epoll_create1(EPOLL_CLOEXEC))
  , m_now(base::MonotonicNow())
{
  if (m_epoll == -1) {
    throw Error(ErrorCode::Internal,
                "epoll_create1 failed: no epoll descriptor");
  }
}

EventLoop::~EventLoop()
{
  for (const auto& timer : m_timers) {
    m_timerQueue.cancel(timer.get());
  }
  close(m_epoll);
}

void
EventLoop::Add(int aDescriptor, IIoHandler& aHandler, std::uint32_t aEvents)
{
  const auto index = static_cast<std::size_t>(aDescriptor);
  if (m_registrations.size() <= index) {
    m_registrations.resize(index + 1);
  }
  auto& registration = m_registrations[index];
  registration = { &aHandler, m_nextGeneration++ };
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 =
    (std::uint64_t{ registration.generation } << 32) | std::uint64_t{ index };
  if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, aDescriptor, &event) == -1) {
    registration = {};
    throw Error(ErrorCode::Internal, "epoll_ctl failed to add a descriptor");
  }
}

void
EventLoop::Modify(int aDescriptor, std::uint32_t aEvents)
{
  const auto index = static_cast<std::size_t>(aDescriptor);
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 =
    (std::uint64_t{ m_registrations.at(index).generation } << 32) |
    std::uint64_t{ index };
  epoll_ctl(m_epoll, EPOLL_CTL_MOD, aDescriptor, &event);
}

void
EventLoop::RemoveBeforeClose(int aDescriptor)
{
  const auto index = static_cast<std::size_t>(aDescriptor);
  if (index < m_registrations.size()) {
    m_registrations[index] = {};
  }
}

void
EventLoop::Remove(int aDescriptor)
{
  RemoveBeforeClose(aDescriptor);
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, aDescriptor, nullptr);
}

void
EventLoop::SchedulePeriodic(base::Duration aPeriod,
                            std::function<void()> aCallback)
{
  const auto& timer =
    m_timers.emplace_back(std::make_unique<timer::PeriodicHandler>(
      [this, callback = std::move(aCallback)] { Guard("timer", callback); }));
  const auto first = ToAce(base::MonotonicNow() + aPeriod);
  if (m_timerQueue.schedule(timer.get(), nullptr, first, ToAce(aPeriod)) ==
      -1) {
    throw Error(ErrorCode::Internal, "failed to schedule a periodic timer");
  }
}

ACE_Event_Handler&
EventLoop::AddTask(std::function<void()> aCallback)
{
  return *m_timers.emplace_back(std::make_unique<timer::PeriodicHandler>(
    [this, callback = std::move(aCallback)] { Guard("task", callback); }));
}

void
EventLoop::ScheduleOnce(ACE_Event_Handler& aTask, base::TimePoint aAt)
{
  if (m_timerQueue.schedule(&aTask, nullptr, ToAce(aAt)) == -1) {
    throw Error(ErrorCode::Internal, "failed to schedule a timer");
  }
}

void
EventLoop::ScheduleSelfTimed(base::TimePoint aFirst,
                             std::function<base::TimePoint()> aCallback)
{
  auto timer = std::make_unique<timer::PeriodicHandler>([] {});
  auto& handler = *timer;
  m_timers.push_back(std::move(timer));
  handler.SetCallback([this, &handler, callback = std::move(aCallback)] {
    auto next = m_now + kFailedTaskDelay;
    Guard("self-timed", [&] { next = callback(); });
    ScheduleOnce(handler, next);
  });
  ScheduleOnce(handler, aFirst);
}

void
EventLoop::Defer(std::function<void()> aTask)
{
  m_deferred.push_back(std::move(aTask));
}

void
EventLoop::Run()
{
  while (!m_stopped) {
    RunOnce();
  }
}

int
EventLoop::PollTimeoutMs() const
{
  if (m_timerQueue.is_empty()) {
    return kMaxPollTimeoutMs;
  }
  const auto now = ToAce(base::MonotonicNow());
  const auto& next = m_timerQueue.earliest_time();
  if (next <= now) {
    return 0;
  }
  const auto wait = static_cast<long>((next - now).msec()) + 1;
  return static_cast<int>(std::min<long>(wait, kMaxPollTimeoutMs));
}

void
EventLoop::RunDeferred()
{
  while (!m_deferred.empty()) {
    auto tasks = std::move(m_deferred);
    m_deferred.clear();
    for (const auto& task : tasks) {
      Guard("deferred", task);
    }
  }
}

void
EventLoop::HandleIo(IIoHandler& aHandler, std::uint32_t aEvents)
{
  if (!Guard("io", [&] { aHandler.OnIo(aEvents); })) {
    Guard("io-failed", [&] { aHandler.OnIoFailed(); });
  }
}

void
EventLoop::RunOnce()
{
  std::array<epoll_event, kMaxEventsPerPoll> events;
  int eventCount = epoll_wait(m_epoll, events.data(), kMaxEventsPerPoll, 0);
  m_now = base::MonotonicNow();
  m_busy.RecordPoll(eventCount > 0, m_now);
  if (eventCount <= 0) {
    eventCount =
      epoll_wait(m_epoll, events.data(), kMaxEventsPerPoll, PollTimeoutMs());
    m_now = base::MonotonicNow();
  }
  const auto startedAt = m_now;
  for (int i = 0; i < eventCount; ++i) {
    const auto data = events[static_cast<std::size_t>(i)].data.u64;
    const auto& registration = m_registrations[data & 0xffffffffU];
    if (registration.handler != nullptr &&
        registration.generation == data >> 32) {
      HandleIo(*registration.handler,
               events[static_cast<std::size_t>(i)].events);
    }
  }
  const auto now = ToAce(m_now);
  if (!m_timerQueue.is_empty() && m_timerQueue.earliest_time() <= now) {
    m_timerQueue.expire(now);
  }
  RunDeferred();
  m_lastIterationTime = base::MonotonicNow() - startedAt;
}

}
