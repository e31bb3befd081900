#include "gateway/upstreamchecks.h"

#include "gateway/upstreampool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hemlockgauge::gateway {

using quarantine::CheckResult;

namespace {

using namespace std::chrono_literals;

//! Time for an upstream to accept the connection, equal to the connect timeout
//! of requests. An upstream that takes longer may be busy, or its host is gone.
constexpr base::Duration kCheckTimeout = 300ms;

}

UpstreamChecks::UpstreamChecks(UpstreamPool& aPool, OnResult aOnResult)
  : m_pool(aPool)
  , m_onResult(std::move(aOnResult))
{
}

void
UpstreamChecks::Begin(base::UpstreamId aUpstream,
                      const base::Address& aAddress,
                      base::TimePoint aNow)
{
  const bool isBeingChecked =
    std::any_of(m_checks.begin(), m_checks.end(), [&](const auto& aEntry) {
      return aEntry.second.upstream == aUpstream;
    });
  if (isBeingChecked) {
    return;
  }
  auto& connection = m_pool.Acquire(aUpstream, aAddress, *this);
  m_checks[&connection] = { aUpstream, aNow };
}

void
UpstreamChecks::Tick(base::TimePoint aNow)
{
  std::vector<std::pair<http::ClientConnection*, CheckResult>> finished;
  for (const auto& [connection, check] : m_checks) {
    if (!connection->IsConnecting()) {
      finished.emplace_back(connection, CheckResult::Alive);
    } else if (aNow - check.startedAt > kCheckTimeout) {
      finished.emplace_back(connection, CheckResult::Unknown);
    }
  }
  for (const auto& [connection, result] : finished) {
    if (result == CheckResult::Alive) {
      m_pool.Release(*connection);
    } else {
      m_pool.Discard(*connection);
    }
    Finish(*connection, result);
  }
}

void
UpstreamChecks::Finish(http::ClientConnection& aConnection, CheckResult aResult)
{
  const auto found = m_checks.find(&aConnection);
  if (found == m_checks.end()) {
    return;
  }
  const auto upstream = found->second.upstream;
  m_checks.erase(found);
  m_onResult(upstream, aResult);
}

http::IClientEvents::HeadAction
UpstreamChecks::OnAnswerHead(http::ClientConnection&, http::ResponseHead&&)
{
  return HeadAction::Reject; // no request was sent
}

//! A failed connection doesn't prove a crash if the upstream keeps other
//! connections open: it only accepts no more of them.
void
UpstreamChecks::OnFailed(http::ClientConnection& aConnection,
                         http::ClientFailure)
{
  const auto found = m_checks.find(&aConnection);
  m_pool.Discard(aConnection);
  if (found == m_checks.end()) {
    return;
  }
  const bool serves =
    aConnection.WasAccepted() || m_pool.HasEstablished(found->second.upstream);
  Finish(aConnection, serves ? CheckResult::Alive : CheckResult::Crashed);
}

//! An upstream that accepts a connection serves, also if it closes it at once,
//! as those do that have too many.
void
UpstreamChecks::OnIdleClosed(http::ClientConnection& aConnection)
{
  m_pool.Discard(aConnection);
  Finish(aConnection, CheckResult::Alive);
}

}
