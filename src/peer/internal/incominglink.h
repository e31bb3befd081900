#pragma once

#include "framing/framebuffer.h"
#include "wire/framecodec.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <functional>

namespace hemlockgauge::peer {

//! A connection on which a peer sends frames to this router. Each accepted
//! frame is acknowledged with one byte.
class IncomingLink : public ACE_Event_Handler
{
public:
  //! aOnFrame handles the bytes of one frame and throws Error(BadFrame) if they
  //! are invalid; then aOnBadFrame is called and the connection closes.
  IncomingLink(ACE_Reactor& aReactor,
               std::function<void(const std::vector<std::uint8_t>&)> aOnFrame,
               std::function<void()> aOnBadFrame);

  ACE_SOCK_Stream& Stream() { return m_stream; }
  bool Open();
  void Close();
  bool IsClosed() const { return m_closed; }

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE aHandle) override;
  int handle_close(ACE_HANDLE aHandle, ACE_Reactor_Mask aMask) override;

private:
  ACE_Reactor& m_reactor;
  std::function<void(const std::vector<std::uint8_t>&)> m_onFrame;
  std::function<void()> m_onBadFrame;
  ACE_SOCK_Stream m_stream;
  framing::FrameBuffer m_buffer{ wire::kMaxFrameBytes };
  bool m_closed = false;
};

}
