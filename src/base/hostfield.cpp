#include "base/hostfield.h"

#include <algorithm>
#include <cctype>

namespace hemlockgauge::base {

namespace {

bool
IsNameChar(char aChar)
{
  return std::isalnum(static_cast<unsigned char>(aChar)) != 0 ||
         std::string_view("-._~%!$&'()*+,;=").find(aChar) !=
           std::string_view::npos;
}

bool
IsAddressChar(char aChar)
{
  return std::isxdigit(static_cast<unsigned char>(aChar)) != 0 ||
         aChar == ':' || aChar == '.';
}

bool
IsDigit(char aChar)
{
  return std::isdigit(static_cast<unsigned char>(aChar)) != 0;
}

//! Length of the name or address at the start of aField; 0 if it is malformed.
std::size_t
HostLength(std::string_view aField)
{
  if (!aField.starts_with('[')) {
    const auto end = std::min(aField.find(':'), aField.size());
    const auto name = aField.substr(0, end);
    return std::all_of(name.begin(), name.end(), IsNameChar) ? end : 0;
  }
  const auto end = aField.find(']');
  if (end == std::string_view::npos || end == 1) {
    return 0;
  }
  const auto address = aField.substr(1, end - 1);
  return std::all_of(address.begin(), address.end(), IsAddressChar) ? end + 1
                                                                    : 0;
}

}

std::optional<std::string_view>
ParseHostField(std::string_view aField)
{
  const auto length = HostLength(aField);
  if (length == 0) {
    return std::nullopt;
  }
  auto port = aField.substr(length);
  if (!port.empty() && !port.starts_with(':')) {
    return std::nullopt;
  }
  port.remove_prefix(port.empty() ? 0 : 1);
  if (!std::all_of(port.begin(), port.end(), IsDigit)) {
    return std::nullopt;
  }
  return aField.substr(0, length);
}

}
