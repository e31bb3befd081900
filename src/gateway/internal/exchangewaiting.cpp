#include "gateway/internal/exchange.h"

#include "eventloop/eventloop.h"
#include "metrics/metrics.h"

#include <fmt/format.h>

//! How a request waits in the router while the engines' queues are full.
namespace hemlockgauge::gateway {

using base::Verdict;

//! Lets the refused request wait if it may. Returns false if it has to be
//! refused now.
bool
Exchange::WaitForRoom(const fleet::PlaceResult& aPlace)
{
  if (!aPlace.mayWaitUntil) {
    return false;
  }
  fleet::WaitingRequest request;
  request.workspace = fleet::WorkspaceIdOf(m_workspace);
  request.entitlement = aPlace.Entitlement();
  request.priority = m_config->PriorityOf(*m_route, m_workspace);
  request.giveUpAt = *aPlace.mayWaitUntil;
  request.bytes = m_request.HeldBytes();
  if (!m_dependencies.queue.Wait(request, *this)) {
    return false;
  }
  if (!m_wait) {
    m_wait = std::make_unique<WaitState>();
    m_wait->beganAt = m_dependencies.loop.Now();
    LogPlacement("waiting", aPlace);
  }
  m_wait->refusal = aPlace;
  return true;
}

void
Exchange::OnTurn()
{
  const bool isOver =
    m_dependencies.loop.Now() >= *m_wait->refusal.mayWaitUntil;
  if (isOver) {
    OnWaitEnded(WaitEnd::Refused);
    return;
  }
  if (!UpdateRoute()) {
    SendLocalReply(Refusal::NoUpstream, Verdict::NotRun, kRetryElsewhereDelay);
    return;
  }
  Place(MakePlaceRequest());
}

void
Exchange::OnWaitEnded(WaitEnd aEnd)
{
  auto refusal = m_wait->refusal;
  const bool isStopping = aEnd == WaitEnd::Stopped;
  if (isStopping) {
    refusal.retryAfter = kRetryElsewhereDelay;
  }
  LogPlacement("refused", refusal);
  EndWait(aEnd);
  SendLocalReply(isStopping ? Refusal::Draining : Refusal::Overload,
                 Verdict::NotRun,
                 refusal.retryAfter);
}

//! Records how the wait ended. Does nothing if the request does not wait.
void
Exchange::EndWait(WaitEnd aEnd)
{
  m_dependencies.queue.Remove(*this);
  if (!m_wait) {
    return;
  }
  m_waitedInQueue = WaitedInQueue();
  m_wait.reset();
  m_dependencies.metrics.Count(fmt::format(
    "requests_waited_total{{end=\"{}\"}}", kWaitEndNames.NameOf(aEnd)));
}

base::Duration
Exchange::WaitedInQueue() const
{
  return m_wait ? m_dependencies.loop.Now() - m_wait->beganAt : m_waitedInQueue;
}

}
