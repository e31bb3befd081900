#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace hemlockgauge::framing {

//! Splits a byte stream into frames: a length of four bytes, big-endian, then
//! that many bytes.
class FrameBuffer
{
public:
  explicit FrameBuffer(std::size_t aMaxFrameBytes)
    : m_maxFrameBytes(aMaxFrameBytes)
  {
  }

  void Append(std::span<const std::uint8_t> aBytes);
  //! Moves the next complete frame to aFrame; false if there is none yet.
  //! Throws Error(BadFrame) if the length is 0 or above the maximum.
  bool Next(std::vector<std::uint8_t>& aFrame);
  //! Whether bytes of an incomplete frame are stored.
  bool HasPartialFrame() const { return !m_bytes.empty(); }

private:
  std::size_t m_maxFrameBytes;
  std::vector<std::uint8_t> m_bytes;
};

//! Returns aFrame with its length prefix.
std::vector<std::uint8_t>
AddLengthPrefix(const std::vector<std::uint8_t>& aFrame);

}
