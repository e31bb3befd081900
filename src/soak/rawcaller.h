#pragma once

#include "base/address.h"
#include "eventloop/iiohandler.h"

#include <ace/SOCK_Stream.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockgauge::eventloop {
class EventLoop;
}

namespace hemlockgauge::soak {

//! Whether a caller reads what the router sends.
enum class Reading : std::uint8_t
{
  On,
  Off
};

//! A caller that sends given bytes and keeps its connection open until the
//! router closes it. It parses nothing.
class RawCaller : public eventloop::IIoHandler
{
public:
  RawCaller(eventloop::EventLoop& aLoop,
            const base::Address& aRouter,
            std::string aText,
            Reading aReading = Reading::On);
  ~RawCaller() override;
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  //! Whether all bytes were sent, or the router closed the connection before.
  bool HasSent() const { return !m_isOpen || m_sent == m_text.size(); }
  bool IsOpen() const { return m_isOpen; }
  //! The first bytes that the router sent.
  const std::string& FirstBytes() const { return m_firstBytes; }

  void OnIo(std::uint32_t aEvents) override;
  void OnIoFailed() override { Close(); }

private:
  void Send();
  void Receive();
  void UpdateWatchedEvents();
  void Close();

  eventloop::EventLoop& m_loop;
  ACE_SOCK_Stream m_stream;
  std::string m_text;
  std::string m_firstBytes;
  Reading m_reading;
  std::size_t m_sent = 0;
  bool m_isOpen = false;
};

}
