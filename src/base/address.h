#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockgauge::base {

//! An IPv4 address and a TCP port.
struct Address
{
  std::string ip;
  std::uint16_t port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
  bool operator==(const Address&) const = default;
};

//! Parses an IPv4 address with a port, such as "127.0.0.1:80". Throws
//! Error(BadValue) on any other text and on port 0.
Address
ParseAddress(std::string_view aText);

}
