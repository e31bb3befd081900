#pragma once

#include <string>

namespace hemlockgauge::load {

//! Sends a GET request to aAddress (IP:PORT) and returns the body of the
//! response; empty if the request failed.
std::string
SimpleGet(const std::string& aAddress, const std::string& aPath);

}
