#include "quarantine/requestfingerprint.h"

#include "base/basetypes.h"
#include "base/hash.h"

#include <fmt/format.h>

namespace hemlockgauge::quarantine {

RequestFingerprint
FingerprintOf(const RequestIdentity& aIdentity)
{
  return RequestFingerprint(base::HashFields({ aIdentity.workspace,
                                               aIdentity.method,
                                               aIdentity.host,
                                               aIdentity.target,
                                               aIdentity.body }));
}

std::string
FingerprintText(RequestFingerprint aFingerprint)
{
  return fmt::format("{:016x}", base::Raw(aFingerprint));
}

}
