#pragma once

#include "base/address.h"
#include "eventloop/iiohandler.h"
#include "fleet/peerreport.h"
#include "fleet/streamtypes.h"

#include <ace/SOCK_Dgram.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}
namespace hemlockgauge::metrics {
class Metrics;
}

namespace hemlockgauge::gateway {

//! Sends and receives reports and stream messages of routers, each as one UDP
//! datagram.
class PeerLink : public eventloop::IIoHandler
{
public:
  using OnReport = std::function<void(const fleet::PeerReport& aReport,
                                      const base::Address& aFrom)>;
  using OnStreamMessage =
    std::function<void(const fleet::StreamMessage& aMessage,
                       const base::Address& aFrom)>;

  //! Throws Error(Unreachable) if the address can't be bound.
  PeerLink(eventloop::EventLoop& aLoop,
           const base::Address& aListen,
           metrics::Metrics& aMetrics,
           OnReport aOnReport,
           OnStreamMessage aOnStreamMessage);
  ~PeerLink() override;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  //! Sends the report to each address. Failed sends are only counted.
  void Send(const fleet::PeerReport& aReport,
            const std::vector<base::Address>& aTo);
  //! Sends a stream message. A failed send is only counted.
  void Send(const fleet::StreamMessage& aMessage, const base::Address& aTo);

  void OnIo(std::uint32_t aEvents) override;

private:
  void HandleDatagram(const std::uint8_t* aBytes,
                      std::size_t aSize,
                      const base::Address& aFrom);

  eventloop::EventLoop& m_loop;
  metrics::Metrics& m_metrics;
  OnReport m_onReport;
  OnStreamMessage m_onStreamMessage;
  ACE_SOCK_Dgram m_socket;
  std::vector<std::uint8_t> m_buffer;
};

}
