#include "base/retryafter.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace hemlockgauge::base {

namespace {

constexpr double kMaxSeconds = 24.0 * 3600;
constexpr double kMillisPerSecond = 1000.0;

}

Duration
ParseRetryAfter(std::string_view aText)
{
  double seconds = 0;
  const auto* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, seconds);
  const bool isValid = error == std::errc() && rest == end && seconds > 0 &&
                       seconds <= kMaxSeconds;
  if (!isValid) {
    return {};
  }
  return Duration(
    static_cast<std::int64_t>(std::ceil(seconds * kMillisPerSecond)));
}

}
