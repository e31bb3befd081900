#pragma once

#include "base/address.h"
#include "http/connectionset.h"
#include "http/listener.h"
#include "http/serverconnection.h"

#include <functional>
#include <string>

namespace hemlockgauge::gateway {

//! The response to a request of the load balancer or an operator.
struct ProbePage
{
  int status = 200;
  std::string contentType = "text/plain";
  std::string body;
};

//! HTTP server for readiness, metrics and status pages.
class ProbeServer : public http::IServerEvents
{
public:
  //! Returns the page for a request target.
  using Handler = std::function<ProbePage(const std::string& aTarget)>;

  ProbeServer(eventloop::EventLoop& aLoop,
              const base::Address& aListen,
              Handler aHandler);
  ~ProbeServer() override;

  //! Closes connections that have exceeded their time limits.
  void Sweep(base::TimePoint aNow);

  void OnRequest(http::ServerConnection& aConnection,
                 http::RequestHead&& aHead,
                 std::string&& aBody) override;
  void OnBadRequest(http::ServerConnection& aConnection,
                    http::Fault aFault) override;
  void OnPeerGone(http::ServerConnection&) override {}
  void OnDrained(http::ServerConnection&) override {}
  void OnClosed(http::ServerConnection& aConnection) override;

private:
  Handler m_handler;
  base::CallerLimits m_limits;
  http::ConnectionSet m_connections;
  http::Listener m_listener;
};

}
