#include "gateway/probeserver.h"

namespace hemlockgauge::gateway {

namespace {

//! Only the load balancer and operators connect to this server.
constexpr std::size_t kMaxConnections = 64;
//! Probes and requests for pages are small and have no bodies.
constexpr base::CallerLimits kLimits{ 8192, 4096 };

}

ProbeServer::ProbeServer(eventloop::EventLoop& aLoop,
                         const base::Address& aListen,
                         Handler aHandler)
  : m_handler(std::move(aHandler))
  , m_limits(kLimits)
  , m_connections(aLoop, m_limits, *this)
  , m_listener(aLoop, aListen, [this](const ACE_SOCK_Stream& aStream) {
    const bool isFull = m_connections.Size() >= kMaxConnections &&
                        m_connections.MakeRoom(1, base::Duration{}) == 0;
    if (isFull) {
      ACE_SOCK_Stream refused(aStream);
      refused.close();
      return;
    }
    m_connections.Add(aStream);
  })
{
}

ProbeServer::~ProbeServer() = default;

void
ProbeServer::Sweep(base::TimePoint aNow)
{
  m_connections.EnforceTimeouts(aNow);
}

void
ProbeServer::OnRequest(http::ServerConnection& aConnection,
                       http::RequestHead&& aHead,
                       std::string&&)
{
  const auto page = m_handler(aHead.target);
  std::string head;
  http::AppendStatusLine(
    head, page.status, page.status == 200 ? "OK" : "Unavailable");
  http::AppendField(head, "Content-Type", page.contentType);
  aConnection.BeginAnswer(head, http::Framing::Length, page.body.size());
  aConnection.Write(page.body);
  aConnection.EndAnswer();
}

void
ProbeServer::OnBadRequest(http::ServerConnection& aConnection, http::Fault)
{
  std::string head;
  http::AppendStatusLine(head, 400, "Bad Request");
  aConnection.BeginAnswer(head, http::Framing::Length, 0);
  aConnection.EndAnswer();
}

void
ProbeServer::OnClosed(http::ServerConnection& aConnection)
{
  m_connections.Forget(aConnection);
}

}
