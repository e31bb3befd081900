#pragma once

#include "gateway/iexchangequeue.h"

#include <cstddef>
#include <map>
#include <unordered_map>

class ACE_Event_Handler;

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::gateway {

//! Connects the waiting queue to the exchanges and to the event loop's timer,
//! which runs only while a request waits.
class ExchangeQueue : public IExchangeQueue
{
public:
  ExchangeQueue(eventloop::EventLoop& aLoop,
                const fleet::WaitingLimits& aLimits);

  void Configure(const fleet::WaitingLimits& aLimits);
  //! Refuses all waiting requests and lets none wait any more.
  void Stop();
  std::size_t Size() const { return m_queue.Size(); }

  bool Wait(fleet::WaitingRequest aRequest,
            IWaitingExchange& aExchange) override;
  void Remove(IWaitingExchange& aExchange) override;

private:
  void Schedule();
  void Run();
  //! Returns null if the exchange has ended since its id was taken.
  IWaitingExchange* Take(fleet::WaitingId aId);
  void End(fleet::WaitingId aId, WaitEnd aEnd);

  eventloop::EventLoop& m_loop;
  fleet::WaitingQueue m_queue;
  //! The waiting exchanges, and those that were taken out and not called yet.
  std::map<fleet::WaitingId, IWaitingExchange*> m_exchanges;
  std::unordered_map<IWaitingExchange*, fleet::WaitingId> m_ids;
  std::uint64_t m_nextId = 1;
  ACE_Event_Handler& m_task;
  bool m_isScheduled = false;
  bool m_isStopped = false;
};

}
