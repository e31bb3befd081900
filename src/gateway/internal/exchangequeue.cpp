#include "gateway/exchangequeue.h"

#include "eventloop/eventloop.h"

namespace hemlockgauge::gateway {

namespace {

//! Bounds the processor time for waiting requests to that of 800 arrivals per
//! second. If the first requests in the order can't be placed, those behind
//! them rarely can: requests within their shares are tried at all engines.
constexpr std::size_t kMaxAttemptsPerRun = 8;

}

ExchangeQueue::ExchangeQueue(eventloop::EventLoop& aLoop,
                             const fleet::WaitingLimits& aLimits)
  : m_loop(aLoop)
  , m_task(aLoop.AddTask([this] { Run(); }))
{
  m_queue.Configure(aLimits);
}

void
ExchangeQueue::Configure(const fleet::WaitingLimits& aLimits)
{
  m_queue.Configure(aLimits);
}

void
ExchangeQueue::Stop()
{
  m_isStopped = true;
  for (const auto id : m_queue.Clear()) {
    End(id, WaitEnd::Stopped);
  }
}

bool
ExchangeQueue::Wait(fleet::WaitingRequest aRequest, IWaitingExchange& aExchange)
{
  if (m_isStopped) {
    return false;
  }
  aRequest.id = fleet::WaitingId(m_nextId);
  const auto result = m_queue.Add(aRequest, m_loop.Now());
  if (result.outcome != fleet::AddOutcome::Queued) {
    return false;
  }
  m_nextId++;
  m_exchanges[aRequest.id] = &aExchange;
  m_ids[&aExchange] = aRequest.id;
  Schedule();
  if (result.replaced) {
    End(*result.replaced, WaitEnd::Replaced);
  }
  return true;
}

void
ExchangeQueue::Remove(IWaitingExchange& aExchange)
{
  const auto found = m_ids.find(&aExchange);
  if (found != m_ids.end()) {
    m_queue.Remove(found->second);
    m_exchanges.erase(found->second);
    m_ids.erase(found);
  }
}

void
ExchangeQueue::Schedule()
{
  const auto next = m_queue.NextAt();
  if (next && !m_isScheduled) {
    m_isScheduled = true;
    m_loop.ScheduleOnce(m_task, *next);
  }
}

//! NOTE a call may end other exchanges whose ids were taken.
void
ExchangeQueue::Run()
{
  m_isScheduled = false;
  for (const auto id : m_queue.TakeDue(m_loop.Now(), kMaxAttemptsPerRun)) {
    if (auto* exchange = Take(id)) {
      exchange->OnTurn();
    }
  }
  Schedule();
}

IWaitingExchange*
ExchangeQueue::Take(fleet::WaitingId aId)
{
  const auto found = m_exchanges.find(aId);
  if (found == m_exchanges.end()) {
    return nullptr;
  }
  auto* exchange = found->second;
  m_ids.erase(exchange);
  m_exchanges.erase(found);
  return exchange;
}

void
ExchangeQueue::End(fleet::WaitingId aId, WaitEnd aEnd)
{
  if (auto* exchange = Take(aId)) {
    exchange->OnWaitEnded(aEnd);
  }
}

}
