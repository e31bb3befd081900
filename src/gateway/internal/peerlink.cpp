#include "gateway/peerlink.h"

#include "base/error.h"
#include "base/logline.h"
#include "eventloop/eventloop.h"
#include "gateway/reportcodec.h"
#include "gateway/streammessagecodec.h"
#include "metrics/metrics.h"

#include <ace/INET_Addr.h>

#include <sys/epoll.h>

namespace hemlockgauge::gateway {

namespace {

constexpr std::size_t kMaxDatagramBytes = 65536; // upper bound of a UDP payload
//! Maximum number of datagrams read per event.
constexpr int kMaxDatagramsPerEvent = 64;

}

PeerLink::PeerLink(eventloop::EventLoop& aLoop,
                   const base::Address& aListen,
                   metrics::Metrics& aMetrics,
                   OnReport aOnReport,
                   OnStreamMessage aOnStreamMessage)
  : m_loop(aLoop)
  , m_metrics(aMetrics)
  , m_onReport(std::move(aOnReport))
  , m_onStreamMessage(std::move(aOnStreamMessage))
  , m_buffer(kMaxDatagramBytes)
{
  const ACE_INET_Addr local(aListen.port, aListen.ip.c_str());
  if (m_socket.open(local, PF_INET) == -1) {
    throw base::Error(base::ErrorCode::Unreachable,
                      aListen.Text() +
                        ": can't bind UDP socket for peer reports");
  }
  m_socket.enable(ACE_NONBLOCK);
  m_loop.Add(m_socket.get_handle(), *this, EPOLLIN);
}

PeerLink::~PeerLink()
{
  m_loop.Remove(m_socket.get_handle());
  m_socket.close();
}

void
PeerLink::Send(const fleet::PeerReport& aReport,
               const std::vector<base::Address>& aTo)
{
  if (aTo.empty()) {
    return;
  }
  const auto bytes = EncodeReport(aReport);
  std::uint64_t unsent = 0;
  for (const auto& address : aTo) {
    const ACE_INET_Addr to(address.port, address.ip.c_str());
    unsent += m_socket.send(bytes.data(), bytes.size(), to) == -1 ? 1 : 0;
  }
  m_metrics.Count("reports_sent_total", aTo.size());
  const auto scope = fleet::kReportScopeNames.NameOf(aReport.scope);
  m_metrics.Count("report_bytes_sent_total{scope=\"" + std::string(scope) +
                    "\",relayed=\"" + (aReport.relayed ? "yes" : "no") + "\"}",
                  aTo.size() * bytes.size());
  if (unsent > 0) {
    m_metrics.Count("reports_unsent_total", unsent);
  }
}

void
PeerLink::Send(const fleet::StreamMessage& aMessage, const base::Address& aTo)
{
  const auto bytes = EncodeStreamMessage(aMessage);
  const ACE_INET_Addr to(aTo.port, aTo.ip.c_str());
  const bool isSent = m_socket.send(bytes.data(), bytes.size(), to) != -1;
  const std::string kind(fleet::kStreamMessageKindNames.NameOf(aMessage.kind));
  m_metrics.Count("stream_messages_sent_total{kind=\"" + kind + "\"}");
  m_metrics.Count("stream_message_bytes_sent_total", bytes.size());
  m_metrics.Count("stream_messages_unsent_total", isSent ? 0 : 1);
}

void
PeerLink::OnIo(std::uint32_t)
{
  for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
    ACE_INET_Addr from;
    const auto received = m_socket.recv(m_buffer.data(), m_buffer.size(), from);
    if (received <= 0) {
      return;
    }
    const char* ip = from.get_host_addr();
    HandleDatagram(m_buffer.data(),
                   static_cast<std::size_t>(received),
                   { ip == nullptr ? "" : ip, from.get_port_number() });
  }
}

void
PeerLink::HandleDatagram(const std::uint8_t* aBytes,
                         std::size_t aSize,
                         const base::Address& aFrom)
{
  try {
    if (IsStreamMessage(aBytes, aSize)) {
      m_onStreamMessage(DecodeStreamMessage(aBytes, aSize), aFrom);
      return;
    }
    m_onReport(DecodeReport(aBytes, aSize), aFrom);
  } catch (const base::Error& error) {
    m_metrics.Count("bad_datagrams_total");
    base::LogLine("bad-datagram")
      .Add("from", aFrom.Text())
      .Add("why", error.what())
      .Warn();
  }
}

}
