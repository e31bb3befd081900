#include "standins/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace hemlockgauge::standins {

std::string
EncodeBase64(std::string_view aBytes)
{
  constexpr int kBase64Bits = 6;
  constexpr int kByteBits = 8;
  constexpr std::size_t kGroup = 3;
  using Iterator = boost::archive::iterators::base64_from_binary<
    boost::archive::iterators::
      transform_width<const char*, kBase64Bits, kByteBits>>;
  std::string out(Iterator(aBytes.data()),
                  Iterator(aBytes.data() + aBytes.size()));
  out.append((kGroup - aBytes.size() % kGroup) % kGroup, '=');
  return out;
}

}
