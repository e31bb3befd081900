#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace hemlockgauge::framing {

//! Cuts a stream of bytes into frames: four bytes of length, big-endian,
//! then that many bytes. Throws Error(BadFrame) on a length out of bounds.
class FrameBuffer
{
public:
  explicit FrameBuffer(std::size_t aMostBytes)
    : m_mostBytes(aMostBytes)
  {
  }

  void Append(std::span<const std::uint8_t> aBytes);
  //! Takes the next whole frame; false if there is none yet.
  bool Next(std::vector<std::uint8_t>& aFrame);

private:
  std::size_t m_mostBytes;
  std::vector<std::uint8_t> m_bytes;
};

std::vector<std::uint8_t>
WithLength(const std::vector<std::uint8_t>& aFrame);

}
