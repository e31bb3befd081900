#include "peer/peermodule.h"

#include "peer/internal/tcppeertransport.h"

namespace hemlockgauge::peer {

std::unique_ptr<IPeerTransport>
MakePeerTransport(ACE_Reactor& aReactor, timer::ITimerService& aTimers)
{
  return std::make_unique<TcpPeerTransport>(aReactor, aTimers);
}

}
