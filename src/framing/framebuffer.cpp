#include "framing/framebuffer.h"

#include "base/error.h"

namespace hemlockgauge::framing {

namespace {

constexpr std::size_t kLengthBytes = 4;
//! An empty buffer of more bytes than this is freed: a router receives the
//! whole list of upstreams once and small frames afterwards.
constexpr std::size_t kMaxKeptBytes = 65536;

}

void
FrameBuffer::Append(std::span<const std::uint8_t> aBytes)
{
  m_bytes.insert(m_bytes.end(), aBytes.begin(), aBytes.end());
}

bool
FrameBuffer::Next(std::vector<std::uint8_t>& aFrame)
{
  if (m_bytes.size() < kLengthBytes) {
    return false;
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8 | m_bytes[i];
  }
  if (length == 0 || length > m_maxFrameBytes) {
    throw base::Error(base::ErrorCode::BadFrame,
                      "frame length is 0 or above the maximum");
  }
  if (m_bytes.size() < kLengthBytes + length) {
    return false;
  }
  const auto start = m_bytes.begin() + kLengthBytes;
  const auto end = start + static_cast<std::ptrdiff_t>(length);
  aFrame.assign(start, end);
  m_bytes.erase(m_bytes.begin(), end);
  if (m_bytes.empty() && m_bytes.capacity() > kMaxKeptBytes) {
    std::vector<std::uint8_t>().swap(m_bytes);
  }
  return true;
}

std::vector<std::uint8_t>
AddLengthPrefix(const std::vector<std::uint8_t>& aFrame)
{
  std::vector<std::uint8_t> bytes;
  bytes.reserve(kLengthBytes + aFrame.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<std::uint8_t>(aFrame.size() >> shift));
  }
  bytes.insert(bytes.end(), aFrame.begin(), aFrame.end());
  return bytes;
}

}
