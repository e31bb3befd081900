#include "gateway/gateway.h"

#include "base/logline.h"
#include "eventloop/eventloop.h"

//! How the gateway stops.
namespace hemlockgauge::gateway {

using base::LogLine;

namespace {

using namespace std::chrono_literals;

//! How long new requests are still accepted after a stop began: the load
//! balancer sends new connections until two readiness probes have failed.
constexpr base::Duration kAcceptTimeAfterStop = 2700ms;
//! Requests that still run this long before the process is killed are aborted,
//! so that their number can be logged.
constexpr base::Duration kAbortTimeBeforeKill = 400ms;

}

bool
Gateway::IsClosing() const
{
  return m_stopBeganAt && m_loop.Now() - *m_stopBeganAt > kAcceptTimeAfterStop;
}

void
Gateway::BeginStop()
{
  if (m_stopBeganAt) {
    return;
  }
  m_stopBeganAt = m_loop.Now();
  m_streamVersions.HandOver();
  m_exchangeQueue.Stop();
  LogLine("stop-began")
    .Add("running", static_cast<std::uint64_t>(m_exchanges.size()))
    .Add("connections", static_cast<std::uint64_t>(m_connections.Size()))
    .Info();
}

//! Continues a graceful stop. New requests are accepted until the load balancer
//! has noticed, and their responses close the connection. Then the listener and
//! idle connections are closed. Running requests continue until they end or the
//! process is about to be killed.
void
Gateway::ContinueStop(base::TimePoint aNow)
{
  if (!m_stopBeganAt || m_stopped) {
    return;
  }
  if (IsClosing()) {
    m_listener->Close();
    m_connections.CloseIdle();
  }
  const bool allClosed = IsClosing() && m_connections.Size() == 0;
  const bool killIsNear =
    aNow - *m_stopBeganAt > m_settings.stopGracePeriod - kAbortTimeBeforeKill;
  if (!allClosed && !killIsNear) {
    return;
  }
  m_stopped = true;
  m_streamVersions.HandOver();
  m_requestsAborted = m_exchanges.size();
  LogLine("stopped")
    .Add("requests_cut", static_cast<std::uint64_t>(m_requestsAborted))
    .Info();
  m_loop.Stop();
}

}
