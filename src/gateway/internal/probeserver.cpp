#include "gateway/probeserver.h"

#include "eventloop/eventloop.h"

#include <vector>

namespace hemlockgauge::gateway {

namespace {

//! Nobody but the balancer and operators comes here.
constexpr std::size_t kMostConnections = 64;

}

ProbeServer::ProbeServer(eventloop::EventLoop& aLoop,
                         const base::Address& aListen,
                         Handler aHandler)
  : m_loop(aLoop)
  , m_handler(std::move(aHandler))
  , m_listener(aLoop, aListen, [this](const ACE_SOCK_Stream& aStream) {
    if (m_connections.size() >= kMostConnections) {
      ACE_SOCK_Stream refused(aStream);
      refused.close();
      return;
    }
    auto connection = std::make_unique<http::ServerConnection>(
      m_loop, aStream, m_limits, *this);
    auto* key = connection.get();
    m_connections[key] = std::move(connection);
  })
{
}

ProbeServer::~ProbeServer() = default;

void
ProbeServer::Sweep(base::TimePoint aNow)
{
  std::vector<http::ServerConnection*> all;
  for (const auto& [key, connection] : m_connections) {
    all.push_back(key);
  }
  for (auto* connection : all) {
    connection->Sweep(aNow);
  }
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
  aConnection.BeginAnswer(
    std::move(head), http::Framing::Length, page.body.size());
  aConnection.Write(page.body);
  aConnection.EndAnswer();
}

void
ProbeServer::OnBadRequest(http::ServerConnection& aConnection, http::Fault)
{
  std::string head;
  http::AppendStatusLine(head, 400, "Bad Request");
  aConnection.BeginAnswer(std::move(head), http::Framing::Length, 0);
  aConnection.EndAnswer();
}

void
ProbeServer::OnClosed(http::ServerConnection& aConnection)
{
  const auto found = m_connections.find(&aConnection);
  if (found == m_connections.end()) {
    return;
  }
  auto holder = std::make_shared<std::unique_ptr<http::ServerConnection>>(
    std::move(found->second));
  m_connections.erase(found);
  m_loop.Defer([holder] { holder->reset(); });
}

}
