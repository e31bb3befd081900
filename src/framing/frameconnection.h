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

//! Receives the frames and the end of a FrameConnection.
class IFrameEvents
{
public:
  virtual ~IFrameEvents() = default;

  virtual void OnFrame(FrameConnection& aConnection,
                       const std::vector<std::uint8_t>& aFrame) = 0;
  //! The connection failed, or the peer closed it or sent a bad frame. This
  //! is the last call for aConnection.
  virtual void OnLost(FrameConnection& aConnection) = 0;
};

//! TCP connection that carries frames in both directions.
class FrameConnection : public eventloop::IIoHandler
{
public:
  //! Connects to aAddress without blocking.
  FrameConnection(eventloop::EventLoop& aLoop,
                  const base::Address& aAddress,
                  std::size_t aMaxFrameBytes,
                  IFrameEvents& aEvents);
  //! Takes over an accepted connection.
  FrameConnection(eventloop::EventLoop& aLoop,
                  const ACE_SOCK_Stream& aStream,
                  std::size_t aMaxFrameBytes,
                  IFrameEvents& aEvents);
  ~FrameConnection() override;
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  //! Queues a frame and sends as much as the socket accepts.
  void Send(const std::vector<std::uint8_t>& aFrame);
  //! Closes the connection without calling OnLost.
  void Close();
  bool IsOpen() const { return m_open; }
  bool HasUnsentBytes() const { return m_sentBytes < m_sendBuffer.size(); }
  //! Whether a frame was received in part.
  bool HasPartialFrame() const { return m_buffer.HasPartialFrame(); }

  void OnIo(std::uint32_t aEvents) override;
  void OnIoFailed() override { CloseAndReport(); }

private:
  void Flush();
  void Read();
  void UpdateWatchedEvents();
  void CloseAndReport();

  eventloop::EventLoop& m_loop;
  IFrameEvents& m_events;
  ACE_SOCK_Stream m_stream;
  FrameBuffer m_buffer;
  std::vector<std::uint8_t> m_sendBuffer;
  std::size_t m_sentBytes = 0;
  std::uint32_t m_watchedEvents = 0;
  bool m_connected = false;
  bool m_open = false;
};

}
