#include "traffic/internal/keydigest.h"

#include <openssl/sha.h>

#include <array>

namespace hemlockgauge::traffic {

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

}
