#include "http/httptypes.h"

#include <algorithm>
#include <charconv>
#include <strings.h>

namespace hemlockgauge::http {

namespace {

constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;
//! Enough for any 64-bit number.
constexpr std::size_t kMaxDigits = 24;

void
AppendNumber(std::string& aOut, std::uint64_t aValue, int aBase)
{
  char digits[kMaxDigits];
  const auto end =
    std::to_chars(digits, digits + kMaxDigits, aValue, aBase).ptr;
  aOut.append(digits, end);
}

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = aText.find_last_not_of(" \t");
  return aText.substr(first, last - first + 1);
}

}

bool
EqualsIgnoreCase(std::string_view aFirst, std::string_view aSecond)
{
  return aFirst.size() == aSecond.size() &&
         strncasecmp(aFirst.data(), aSecond.data(), aFirst.size()) == 0;
}

bool
ListContains(std::string_view aList, std::string_view aWord)
{
  bool contains = false;
  ForEachListItem(aList, [&](std::string_view aItem) {
    contains = contains || EqualsIgnoreCase(aItem, aWord);
  });
  return contains;
}

void
ForEachListItem(std::string_view aList,
                const std::function<void(std::string_view)>& aCall)
{
  while (!aList.empty()) {
    const auto comma = std::min(aList.find(','), aList.size());
    aCall(Trim(aList.substr(0, comma)));
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
}

void
AppendStatusLine(std::string& aOut, int aStatus, std::string_view aReason)
{
  aOut += "HTTP/1.1 ";
  AppendNumber(aOut, static_cast<std::uint64_t>(aStatus), kDecimal);
  aOut += ' ';
  aOut += aReason;
  aOut += "\r\n";
}

void
AppendField(std::string& aOut, std::string_view aName, std::string_view aValue)
{
  aOut += aName;
  aOut += ": ";
  aOut += aValue;
  aOut += "\r\n";
}

void
AppendNumberField(std::string& aOut,
                  std::string_view aName,
                  std::uint64_t aValue)
{
  aOut += aName;
  aOut += ": ";
  AppendNumber(aOut, aValue, kDecimal);
  aOut += "\r\n";
}

void
AppendChunk(std::string& aOut, std::string_view aBytes)
{
  if (aBytes.empty()) {
    return; // an empty chunk would end the body
  }
  AppendNumber(aOut, aBytes.size(), kHexadecimal);
  aOut += "\r\n";
  aOut += aBytes;
  aOut += "\r\n";
}

}
