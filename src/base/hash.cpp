#include "base/hash.h"

#include <xxhash.h>

#include <array>

namespace hemlockgauge::base {

std::uint32_t
HashName(std::string_view aName)
{
  return XXH32(aName.data(), aName.size(), 0);
}

std::uint64_t
HashPair(std::uint32_t aFirst, std::uint32_t aSecond)
{
  const std::array<std::uint32_t, 2> pair{ aFirst, aSecond };
  return XXH64(pair.data(), sizeof(pair), 0);
}

}
