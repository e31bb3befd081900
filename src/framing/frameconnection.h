#pragma once

#include "base/address.h"
#include "eventloop/iiohandler.h"
#include "framing/framebuffer.h"

#include <ace/SOCK_Stream.h>

#include <cstdint>
#include <vector>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::framing {

class FrameConnection;

//! Told what happens on a FrameConnection.
class IFrameEvents
{
public:
  virtual ~IFrameEvents() = default;

  virtual void OnFrame(FrameConnection& aConnection,
                       const std::vector<std::uint8_t>& aFrame) = 0;
  //! The last call for this connection.
  virtual void OnLost(FrameConnection& aConnection) = 0;
};

//! One TCP connection that carries frames both ways.
class FrameConnection : public eventloop::IIoHandler
{
public:
  //! The end that connects.
  FrameConnection(eventloop::EventLoop& aLoop,
                  const base::Address& aAddress,
                  std::size_t aMostBytes,
                  IFrameEvents& aEvents);
  //! The end that accepted.
  FrameConnection(eventloop::EventLoop& aLoop,
                  const ACE_SOCK_Stream& aStream,
                  std::size_t aMostBytes,
                  IFrameEvents& aEvents);
  ~FrameConnection() override;
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  void Send(const std::vector<std::uint8_t>& aFrame);
  //! Without a word to the owner.
  void Close();
  bool IsOpen() const { return m_open; }
  bool HasUnsent() const { return m_sent < m_out.size(); }

  void OnIo(std::uint32_t aEvents) override;

private:
  void Flush();
  void Read();
  void Watch();
  void Lose();

  eventloop::EventLoop& m_loop;
  IFrameEvents& m_events;
  ACE_SOCK_Stream m_stream;
  FrameBuffer m_buffer;
  std::vector<std::uint8_t> m_out;
  std::size_t m_sent = 0;
  std::uint32_t m_watched = 0;
  bool m_connected = false;
  bool m_open = false;
};

}
