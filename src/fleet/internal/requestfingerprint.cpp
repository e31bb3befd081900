#include "fleet/requestfingerprint.h"

#include "base/hash.h"

namespace hemlockgauge::fleet {

RequestFingerprint
FingerprintOf(const RequestIdentity& aIdentity)
{
  return RequestFingerprint(base::HashFields({ aIdentity.workspace,
                                               aIdentity.method,
                                               aIdentity.host,
                                               aIdentity.target,
                                               aIdentity.body }));
}

}
