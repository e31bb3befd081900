#include "http/eventendfinder.h"

#include "http/eventfields.h"

#include <algorithm>

namespace hemlockgauge::http {

namespace {

//! The end of an event may begin with so many bytes that are searched already.
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
