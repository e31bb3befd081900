#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "http/clientconnection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::gateway {

//! All connections to upstreams; keeps idle ones for the next request, apart
//! for each incarnation: a restarted upstream knows none of the earlier ones.
//! The last one used is used first, so the others can go.
class UpstreamPool : public http::IClientEvents
{
public:
  explicit UpstreamPool(eventloop::EventLoop& aLoop);
  ~UpstreamPool() override;

  //! An idle connection, or a new one. aEvents is told what happens on it
  //! until Release or Discard. A connection that has been closed meanwhile
  //! by the other end is not given.
  http::ClientConnection& Acquire(base::UpstreamId aUpstream,
                                  const base::Address& aAddress,
                                  http::IClientEvents& aEvents);
  //! The request on it has ended and it can carry another.
  void Release(http::ClientConnection& aConnection);
  void Discard(http::ClientConnection& aConnection);
  //! Closes connections that have been idle for long.
  void Sweep(base::TimePoint aNow);
  void CloseIdle(base::UpstreamId aUpstream);

  std::size_t Open() const { return m_connections.size(); }
  //! Whether any connection to that upstream is open, in use or idle.
  bool HasOpen(base::UpstreamId aUpstream) const;
  std::uint64_t Opened() const { return m_opened; }

  HeadVerdict OnAnswerHead(http::ClientConnection& aConnection,
                           http::ResponseHead&& aHead) override;
  void OnAnswerBody(http::ClientConnection&, std::string_view) override {}
  void OnAnswerEnd(http::ClientConnection&, bool) override {}
  void OnFailed(http::ClientConnection& aConnection,
                http::ClientFailure aFailure) override;
  void OnIdleClosed(http::ClientConnection& aConnection) override;

private:
  struct Kept
  {
    std::unique_ptr<http::ClientConnection> connection;
    base::UpstreamId upstream{};
  };

  void Forget(http::ClientConnection& aConnection);

  eventloop::EventLoop& m_loop;
  std::map<http::ClientConnection*, Kept> m_connections;
  std::map<base::UpstreamId, std::vector<http::ClientConnection*>> m_idle;
  std::uint64_t m_opened = 0;
};

}
