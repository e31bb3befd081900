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

std::uint64_t
HashFields(std::initializer_list<std::string_view> aFields)
{
  std::uint64_t hash = 0;
  for (const auto field : aFields) {
    hash = XXH64(field.data(), field.size(), hash);
  }
  return hash;
}

}
