#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "http/clientconnection.h"

#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::gateway {

//! Owns all connections to upstreams and keeps idle ones for reuse. They are
//! kept per incarnation of an upstream, because a restarted upstream knows none
//! of the earlier connections. The most recently used connection is reused
//! first, so that surplus connections time out.
class UpstreamPool : public http::IClientEvents
{
public:
  //! aBudget counts what the connections buffer.
  explicit UpstreamPool(eventloop::EventLoop& aLoop,
                        base::BufferBudget* aBudget = nullptr);
  ~UpstreamPool() override;

  //! Limits the connections. Beyond it, a new one closes an idle one of another
  //! upstream first. Connections in use are not limited.
  void SetMaxConnections(std::size_t aConnections)
  {
    m_maxConnections = aConnections;
  }
  //! Returns an idle connection or a new one, whose events go to aEvents until
  //! Release or Discard. Idle connections that the upstream has closed are
  //! skipped.
  http::ClientConnection& Acquire(base::UpstreamId aUpstream,
                                  const base::Address& aAddress,
                                  http::IClientEvents& aEvents);
  //! Returns a connection whose request has ended to the idle connections.
  void Release(http::ClientConnection& aConnection);
  //! Closes and removes a connection.
  void Discard(http::ClientConnection& aConnection);
  //! Closes connections that have exceeded their idle timeout.
  void Sweep(base::TimePoint aNow);
  //! Closes the idle connections of one upstream.
  void CloseIdle(base::UpstreamId aUpstream);

  //! Number of open connections, in use or idle.
  std::size_t OpenCount() const { return m_connections.size(); }
  //! Whether any connection to that upstream is established, in use or idle,
  //! and its end would have been noticed.
  bool HasEstablished(base::UpstreamId aUpstream) const;
  //! Number of connections opened since the start.
  std::uint64_t TotalOpened() const { return m_totalOpened; }

  HeadAction OnAnswerHead(http::ClientConnection& aConnection,
                          http::ResponseHead&& aHead) override;
  void OnAnswerBody(http::ClientConnection&, std::string_view) override {}
  void OnAnswerEnd(http::ClientConnection&, bool) override {}
  void OnFailed(http::ClientConnection& aConnection,
                http::ClientFailure aFailure) override;
  void OnIdleClosed(http::ClientConnection& aConnection) override;

private:
  struct PooledConnection
  {
    std::unique_ptr<http::ClientConnection> connection;
    base::UpstreamId upstream{};
  };

  void Remove(http::ClientConnection& aConnection);
  void CloseAnyIdle();

  eventloop::EventLoop& m_loop;
  base::BufferBudget* m_budget;
  std::map<http::ClientConnection*, PooledConnection> m_connections;
  std::map<base::UpstreamId, std::vector<http::ClientConnection*>> m_idle;
  std::size_t m_maxConnections = std::numeric_limits<std::size_t>::max();
  std::uint64_t m_totalOpened = 0;
};

}
