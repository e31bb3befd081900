#pragma once

#include "base/address.h"
#include "base/basetypes.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace hemlockgauge::peer {

//! A connection on which this router sends frames to one peer. The peer
//! acknowledges each frame with one byte, so that a connection whose state was
//! lost on the path (such as in a NAT or firewall) is detected and replaced.
class OutgoingLink : public ACE_Event_Handler
{
public:
  OutgoingLink(ACE_Reactor& aReactor,
               base::Address aAddress,
               std::function<void()> aOnLost);
  ~OutgoingLink() override;

  void Send(std::vector<std::uint8_t> aBytes, base::TimePoint aNow);
  //! Reconnects if the oldest frame was not acknowledged in time, or if the
  //! connection is closed and the reconnect delay has passed.
  void EnforceTimeouts(base::TimePoint aNow);
  bool IsIdleSince(base::TimePoint aTime) const { return m_lastSend < aTime; }

  ACE_HANDLE get_handle() const override;
  int handle_output(ACE_HANDLE aHandle) override;
  int handle_input(ACE_HANDLE aHandle) override;

private:
  struct PendingFrame
  {
    std::vector<std::uint8_t> bytes;
    base::TimePoint sent{};
  };

  void Connect();
  void Close();
  void HandleLinkLost();
  void Write();
  void HandleAcknowledgements(std::size_t aCount);

  ACE_Reactor& m_reactor;
  base::Address m_address;
  std::function<void()> m_onLost;
  ACE_SOCK_Stream m_stream;
  bool m_open = false;
  bool m_connected = false;
  std::deque<PendingFrame> m_pendingFrames;
  std::size_t m_nextFrame = 0;
  std::size_t m_offset = 0;
  base::TimePoint m_lastSend{};
  base::TimePoint m_retryAt{};
};

}
