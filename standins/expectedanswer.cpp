#include "standins/expectedanswer.h"

#include "base/hash.h"

#include <fmt/format.h>

namespace hemlockgauge::standins {

std::string
ExpectedToken(std::uint64_t aSeed, std::uint64_t aIndex)
{
  const auto text = fmt::format("{}/{}", aSeed, aIndex);
  return fmt::format("t{:08x}", base::HashName(text));
}

std::string
ExpectedPlainAnswer(std::uint64_t aSeed)
{
  return fmt::format("done {:08x}\n",
                     base::HashName(fmt::format("plain {}", aSeed)));
}

}
