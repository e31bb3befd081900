#pragma once

#include "base/address.h"

#include <memory>

namespace hemlockgauge::platform {

class IPlatformClient;

std::unique_ptr<IPlatformClient>
MakePlatformClient(const base::Address& aPlatform);

}
