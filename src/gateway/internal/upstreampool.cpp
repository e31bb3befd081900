#include "gateway/upstreampool.h"

#include "eventloop/eventloop.h"

#include <algorithm>

namespace hemlockgauge::gateway {

namespace {

using namespace std::chrono_literals;

//! Idle timeout of connections for which the upstream gives none. A request
//! that is sent while the upstream closes the connection may be lost.
constexpr base::Duration kDefaultIdleTimeout = 3000ms;
//! A connection is closed this much earlier than the upstream would close it.
constexpr base::Duration kKeepAliveMargin = 1000ms;

base::Duration
IdleTimeout(const http::ClientConnection& aConnection)
{
  if (aConnection.keepAlive == base::Duration{}) {
    return kDefaultIdleTimeout;
  }
  const auto timeout = std::max(aConnection.keepAlive - kKeepAliveMargin,
                                aConnection.keepAlive / 2);
  return std::min(timeout, kDefaultIdleTimeout);
}

}

UpstreamPool::UpstreamPool(eventloop::EventLoop& aLoop,
                           base::BufferBudget* aBudget)
  : m_loop(aLoop)
  , m_budget(aBudget)
{
}

UpstreamPool::~UpstreamPool() = default;

http::ClientConnection&
UpstreamPool::Acquire(base::UpstreamId aUpstream,
                      const base::Address& aAddress,
                      http::IClientEvents& aEvents)
{
  auto& idle = m_idle[aUpstream];
  while (!idle.empty()) {
    auto& connection = *idle.back();
    idle.pop_back();
    if (connection.PeerAddress() == aAddress && !connection.IsStale()) {
      connection.SetEvents(aEvents);
      return connection;
    }
    connection.Close();
    Remove(connection);
  }
  if (m_connections.size() >= m_maxConnections) {
    CloseAnyIdle();
  }
  auto created = std::make_unique<http::ClientConnection>(
    m_loop, aAddress, aEvents, m_budget);
  auto& connection = *created;
  m_connections[&connection] = { std::move(created), aUpstream };
  m_totalOpened++;
  return connection;
}

//! Closes the longest idle connection of some upstream, if there is any.
void
UpstreamPool::CloseAnyIdle()
{
  for (const auto& [upstream, idle] : m_idle) {
    if (!idle.empty()) {
      Discard(*idle.front());
      return;
    }
  }
}

bool
UpstreamPool::HasEstablished(base::UpstreamId aUpstream) const
{
  return std::any_of(
    m_connections.begin(), m_connections.end(), [&](const auto& aEntry) {
      const auto& connection = *aEntry.second.connection;
      return aEntry.second.upstream == aUpstream && connection.IsOpen() &&
             !connection.IsConnecting() && connection.IsReading();
    });
}

void
UpstreamPool::Release(http::ClientConnection& aConnection)
{
  const auto found = m_connections.find(&aConnection);
  if (found == m_connections.end()) {
    return;
  }
  if (!aConnection.IsOpen()) {
    Remove(aConnection);
    return;
  }
  aConnection.SetEvents(*this);
  m_idle[found->second.upstream].push_back(&aConnection);
}

void
UpstreamPool::Discard(http::ClientConnection& aConnection)
{
  aConnection.Close();
  Remove(aConnection);
}

void
UpstreamPool::Remove(http::ClientConnection& aConnection)
{
  const auto found = m_connections.find(&aConnection);
  if (found == m_connections.end()) {
    return;
  }
  std::erase(m_idle[found->second.upstream], &aConnection);
  //! NOTE this may be called from inside a callback of the connection.
  m_loop.DeleteLater(std::move(found->second.connection));
  m_connections.erase(found);
}

void
UpstreamPool::Sweep(base::TimePoint aNow)
{
  std::vector<http::ClientConnection*> expired;
  for (const auto& [id, idle] : m_idle) {
    for (auto* connection : idle) {
      if (aNow - connection->StateSince() > IdleTimeout(*connection)) {
        expired.push_back(connection);
      }
    }
  }
  for (auto* connection : expired) {
    Discard(*connection);
  }
  std::erase_if(m_idle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
UpstreamPool::CloseIdle(base::UpstreamId aUpstream)
{
  const auto found = m_idle.find(aUpstream);
  if (found == m_idle.end()) {
    return;
  }
  const auto idle = found->second;
  for (auto* connection : idle) {
    Discard(*connection);
  }
}

http::IClientEvents::HeadAction
UpstreamPool::OnAnswerHead(http::ClientConnection&, http::ResponseHead&&)
{
  return HeadAction::Reject; // no request was sent
}

void
UpstreamPool::OnFailed(http::ClientConnection& aConnection, http::ClientFailure)
{
  Remove(aConnection);
}

void
UpstreamPool::OnIdleClosed(http::ClientConnection& aConnection)
{
  Remove(aConnection);
}

}
