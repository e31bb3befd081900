#include "traffic/internal/urlescape.h"

#include <cctype>

namespace hemlockgauge::traffic {

std::string
EscapeUrl(std::string_view aText, std::string_view aAlsoSafe)
{
  constexpr std::string_view kSafeMarks = "-_.~";
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    const bool safe = std::isalnum(byte) != 0 ||
                      kSafeMarks.find(c) != std::string_view::npos ||
                      aAlsoSafe.find(c) != std::string_view::npos;
    if (safe) {
      escaped += c;
      continue;
    }
    escaped += '%';
    escaped += kHex[byte >> 4];
    escaped += kHex[byte & 15];
  }
  return escaped;
}

}
