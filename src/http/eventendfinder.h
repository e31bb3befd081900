#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockgauge::http {

//! Finds the ends of the events of a text/event-stream that arrives in pieces.
//! The sender chooses how small the pieces are, so no byte of an unfinished
//! event is searched again for each of them.
class EventEndFinder
{
public:
  //! Length of the first event in aBytes including its blank line; npos if it
  //! is not complete. Then the next call must get the same bytes with more
  //! behind them, unless Reset is called.
  std::size_t Find(std::string_view aBytes);
  //! The next call gets other bytes.
  void Reset() { m_searched = 0; }
  //! Number of bytes that all calls have searched.
  std::uint64_t SearchedBytes() const { return m_searchedBytes; }

private:
  std::size_t m_searched = 0; //!< bytes of the unfinished event
  std::uint64_t m_searchedBytes = 0;
};

}
