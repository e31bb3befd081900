#pragma once

#include "base/enumnames.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace hemlockgauge::base {

//! What bytes are buffered for.
enum class BufferUse : std::uint8_t
{
  CallerInput,    //!< requests that are being read
  Request,        //!< requests in progress
  UpstreamOutput, //!< requests that are being sent to upstreams
  UpstreamInput,  //!< responses that can't be passed on yet
  CallerOutput    //!< responses that callers have not read yet
};
inline constexpr auto kBufferUseNames =
  MakeEnumNames<BufferUse>("caller-input",
                           "request",
                           "upstream-output",
                           "upstream-input",
                           "caller-output");
inline constexpr std::size_t kBufferUseCount =
  static_cast<std::size_t>(BufferUse::CallerOutput) + 1;

//! Counts and limits the bytes that the connections and requests of a process
//! buffer together. Heads, bodies and what is sent for them are refused for
//! want of room; the rest is small for each connection and gets smaller when
//! the budget is tight.
class BufferBudget
{
public:
  //! Heads and bodies of ordinary requests are no larger.
  static constexpr std::size_t kOrdinaryBytes = 4096;
  //! Bodies up to this size are small.
  static constexpr std::size_t kSmallBytes = 65536;

  void SetLimit(std::size_t aBytes) { m_limit = aBytes; }
  //! Whether aBytes more may be buffered. Large ones leave a quarter of the
  //! limit to small ones, and these an eighth to ordinary ones, so that
  //! ordinary requests are served beside them.
  bool Fits(std::size_t aBytes) const { return FitsMore(aBytes, aBytes); }
  //! Whether a buffer that has grown by aMore to aBytes may be kept.
  bool FitsMore(std::size_t aMore, std::size_t aBytes) const
  {
    const auto limit = LimitFor(aBytes);
    return m_total <= limit && aMore <= limit - m_total;
  }
  //! Whether aBytes are ever allowed.
  bool CanFit(std::size_t aBytes) const { return aBytes <= LimitFor(aBytes); }
  //! Whether more than half of the limit is used.
  bool IsTight() const { return m_total > m_limit / 2; }
  std::size_t Limit() const { return m_limit; }
  std::size_t Held(BufferUse aUse) const
  {
    return m_held[static_cast<std::size_t>(aUse)];
  }
  std::size_t Total() const { return m_total; }
  //! Greatest total so far.
  std::size_t Peak() const { return m_peak; }

private:
  friend class BufferShare;
  void Change(BufferUse aUse, std::size_t aBefore, std::size_t aAfter)
  {
    auto& held = m_held[static_cast<std::size_t>(aUse)];
    held = held - aBefore + aAfter;
    m_total = m_total - aBefore + aAfter;
    m_peak = std::max(m_peak, m_total);
  }
  std::size_t LimitFor(std::size_t aBytes) const
  {
    if (aBytes > kSmallBytes) {
      return m_limit / 4 * 3;
    }
    return aBytes > kOrdinaryBytes ? m_limit / 8 * 7 : m_limit;
  }

  std::size_t m_limit = std::numeric_limits<std::size_t>::max();

  std::array<std::size_t, kBufferUseCount> m_held{};
  std::size_t m_total = 0;
  std::size_t m_peak = 0;
};

//! The bytes that one object buffers for one use. Gives them back when it is
//! destroyed. Without a budget nothing is counted.
class BufferShare
{
public:
  BufferShare(BufferBudget* aBudget, BufferUse aUse)
    : m_budget(aBudget)
    , m_use(aUse)
  {
  }
  ~BufferShare() { Set(0); }
  BufferShare(const BufferShare&) = delete;
  BufferShare& operator=(const BufferShare&) = delete;

  void Set(std::size_t aBytes)
  {
    if (m_budget == nullptr || aBytes == m_bytes) {
      return;
    }
    m_budget->Change(m_use, m_bytes, aBytes);
    m_bytes = aBytes;
  }
  //! Does the same if what is added fits; else returns false and changes
  //! nothing.
  bool TrySet(std::size_t aBytes)
  {
    const bool fits = m_budget == nullptr || aBytes <= m_bytes ||
                      m_budget->FitsMore(aBytes - m_bytes, aBytes);
    if (fits) {
      Set(aBytes);
    }
    return fits;
  }
  //! Like TrySet, but refuses only what is larger than kOrdinaryBytes: the
  //! request has run, and its answer must not be lost for a few bytes.
  bool TrySetAnswer(std::size_t aBytes)
  {
    if (aBytes > BufferBudget::kOrdinaryBytes) {
      return TrySet(aBytes);
    }
    Set(aBytes);
    return true;
  }

private:
  BufferBudget* m_budget;
  BufferUse m_use;
  std::size_t m_bytes = 0;
};

}
