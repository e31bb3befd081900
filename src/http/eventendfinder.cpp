#include "http/eventendfinder.h"

#include "http/eventfields.h"

#include <algorithm>

namespace hemlockgauge::http {

namespace {

//! Bytes of the end of an event that may come before the rest of it.
constexpr std::size_t kMaxSplitEnd = 2;

}

std::size_t
EventEndFinder::Find(std::string_view aBytes)
{
  const auto from = m_searched;
  const auto length = FindEventEnd(aBytes.substr(from));
  if (length == std::string_view::npos) {
    m_searched = aBytes.size() - std::min(aBytes.size(), kMaxSplitEnd);
    m_searchedBytes += aBytes.size() - from;
    return length;
  }
  m_searched = 0;
  m_searchedBytes += length;
  return from + length;
}

}
