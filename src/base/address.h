#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockgauge::base {

//! An IP number and a port.
struct Address
{
  std::string ip;
  std::uint16_t port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
  bool operator==(const Address&) const = default;
};

//! Reads "127.0.0.1:80"; throws Error(BadValue) on anything else.
Address
ParseAddress(std::string_view aText);

}
