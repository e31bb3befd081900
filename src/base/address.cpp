#include "base/address.h"

#include "base/error.h"

#include <arpa/inet.h>

#include <charconv>

namespace hemlockgauge::base {

namespace {

[[noreturn]] void
ThrowBadAddress(std::string_view aText)
{
  throw Error(ErrorCode::BadValue,
              "expected IP:PORT, got '" + std::string(aText) + "'");
}

}

Address
ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    ThrowBadAddress(aText);
  }
  Address address;
  address.ip = std::string(aText.substr(0, colon));
  const auto portText = aText.substr(colon + 1);
  const auto* end = portText.data() + portText.size();
  const auto parsed = std::from_chars(portText.data(), end, address.port);
  in_addr parsedIp{};
  //! NOTE inet_pton stops at a null character.
  const bool validIp = address.ip.find('\0') == std::string::npos &&
                       inet_pton(AF_INET, address.ip.c_str(), &parsedIp) == 1;
  if (!validIp || parsed.ec != std::errc() || parsed.ptr != end ||
      address.port == 0) {
    ThrowBadAddress(aText);
  }
  return address;
}

}
