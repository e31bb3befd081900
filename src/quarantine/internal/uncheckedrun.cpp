#include "quarantine/uncheckedrun.h"

#include "quarantine/quarantineconstants.h"

#include <algorithm>

namespace hemlockgauge::quarantine {

bool
UncheckedRun::Has(const Trait& aTrait) const
{
  return aTrait == Trait(request) ||
         std::any_of(parts.begin(), parts.end(), [&](PromptPartId aPart) {
           return aTrait == Trait(aPart);
         });
}

bool
UncheckedRun::HasProvenParts() const
{
  return writingTime >= kProvenWritingTime;
}

}
