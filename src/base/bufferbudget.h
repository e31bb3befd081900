#pragma once

#include "base/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hemlockgauge::base {

//! What bytes are buffered for.
enum class BufferUse : std::uint8_t
{
  CallerInput,    //!< requests that are being read
  Request,        //!< bodies of requests in progress
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

//! Counts the bytes that the connections and requests of a process buffer
//! together.
class BufferBudget
{
public:
  std::size_t Held(BufferUse aUse) const
  {
    return m_held[static_cast<std::size_t>(aUse)];
  }
  std::size_t Total() const { return m_total; }
  //! Greatest total so far.
  std::size_t Peak() const { return m_peak; }

private:
  friend class BufferShare;
  void Change(BufferUse aUse, std::size_t aBefore, std::size_t aAfter);

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

  void Set(std::size_t aBytes);

private:
  BufferBudget* m_budget;
  BufferUse m_use;
  std::size_t m_bytes = 0;
};

}
