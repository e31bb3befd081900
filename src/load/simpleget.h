#pragma once

#include <string>

namespace hemlockgauge::load {

//! The body of a GET on IP:PORT; empty if there was no good answer.
std::string
SimpleGet(const std::string& aAddress, const std::string& aPath);

}
