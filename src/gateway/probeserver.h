#pragma once

#include "base/address.h"
#include "http/connectionset.h"
#include "http/listener.h"
#include "http/serverconnection.h"

#include <functional>
#include <string>

namespace hemlockgauge::gateway {

//! A page for the balancer or for operators.
struct ProbePage
{
  int status = 200;
  std::string contentType = "text/plain";
  std::string body;
};

//! Serves small pages by their path: readiness, metrics, status.
class ProbeServer : public http::IServerEvents
{
public:
  using Handler = std::function<ProbePage(const std::string& aTarget)>;

  ProbeServer(eventloop::EventLoop& aLoop,
              const base::Address& aListen,
              Handler aHandler);
  ~ProbeServer() override;

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
