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
  std::optional<std::uint64_t> revision; //!< of the X-Revision header
};

//! One GET on a new connection. Throws Error(Refused) if nothing listens there,
//! Error(Unreachable) on anything else but 200 within the limit; ends early
//! when aStop turns true.
HttpAnswer
HttpGet(const base::Address& aAddress,
        const std::string& aPath,
        base::Duration aLimit,
        const std::atomic<bool>& aStop);

}
