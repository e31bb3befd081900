#include "soak/oddentry.h"

#include <array>

namespace hemlockgauge::soak {

namespace {

constexpr std::size_t kDepth = 20000;

std::string
DeeplyNested()
{
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

std::string
WithFields(const std::string& aAddress, const std::string& aSlots)
{
  return R"({"service":"engine","address":")" + aAddress +
         R"(","zone":"z0","version":"v1","slots":)" + aSlots +
         R"(,"state":"ready","sequence":1,"coldRemainingMs":0})";
}

}

std::string
OddEntryText(std::uint32_t aNumber)
{
  const std::array texts{ DeeplyNested(),
                          WithFields("127.0.0.1:70000", "16"),
                          WithFields("127.0.0.1:-1", "16"),
                          WithFields("127.0.0.1:1", "1e999"),
                          WithFields("127.0.0.1:1", std::string(400, '9')),
                          std::string("{") };
  return texts.at(aNumber % texts.size());
}

}
