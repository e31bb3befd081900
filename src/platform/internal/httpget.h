#pragma once

#include "base/address.h"
#include "base/basetypes.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

namespace hemlockgauge::platform {

struct HttpAnswer
{
  std::string body;
  std::optional<std::uint64_t> revision; //!< value of the X-Revision header
};

//! Sends a GET request on a new connection. Throws Error(Refused) if the
//! connection is refused, Error(Unreachable) on any other failure, on a status
//! other than 200 and after aTimeout. Aborts when aStop becomes true.
HttpAnswer
HttpGet(const base::Address& aAddress,
        const std::string& aPath,
        base::Duration aTimeout,
        const std::atomic<bool>& aStop);

}
