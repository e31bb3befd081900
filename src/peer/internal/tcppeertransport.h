#pragma once

#include "peer/ipeertransport.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Acceptor.h>

#include <map>
#include <memory>
#include <vector>

namespace hemlockgauge::timer {
class ITimerService;
}

namespace hemlockgauge::peer {

class IncomingLink;
class OutgoingLink;

//! Sends and receives length-prefixed frames over TCP on an ACE reactor.
class TcpPeerTransport
  : public IPeerTransport
  , public ACE_Event_Handler
{
public:
  TcpPeerTransport(ACE_Reactor& aReactor, timer::ITimerService& aTimers);
  ~TcpPeerTransport() override;

  void Listen(const base::Address& aAddress,
              FrameHandler aOnFrame,
              LinkLostHandler aOnLinkLost) override;
  void Send(decision::RouterId aRouter,
            const base::Address& aAddress,
            const decision::Frame& aFrame) override;
  void Close() override;
  std::uint64_t BadFrames() const override { return m_badFrames; }

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE aHandle) override;

private:
  void EnforceTimeouts();

  ACE_Reactor& m_reactor;
  timer::ITimerService& m_timers;
  ACE_SOCK_Acceptor m_acceptor;
  bool m_listening = false;
  FrameHandler m_onFrame;
  LinkLostHandler m_onLinkLost;
  std::map<std::string, std::unique_ptr<OutgoingLink>> m_outgoing;
  std::vector<std::unique_ptr<IncomingLink>> m_incoming;
  std::uint64_t m_badFrames = 0;
};

}
