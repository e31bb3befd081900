#pragma once

#include "base/address.h"

#include <memory>

namespace hemlockgauge::platform {

class IPlatformClient;

//! aPlatform is the HTTP address of the platform.
std::unique_ptr<IPlatformClient>
MakePlatformClient(const base::Address& aPlatform);

}
