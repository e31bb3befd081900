#include "platform/platformmodule.h"

#include "platform/internal/platformclient.h"

namespace hemlockgauge::platform {

std::unique_ptr<IPlatformClient>
MakePlatformClient(const base::Address& aPlatform)
{
  return std::make_unique<PlatformClient>(aPlatform);
}

}
