#pragma once

#include "base/basetypes.h"
#include "quarantine/trait.h"

#include <vector>

namespace hemlockgauge::quarantine {

//! A run of a request whose connection ended. A check of its upstream shows
//! whether that crashed.
struct UncheckedRun
{
  RequestFingerprint request{};
  //! The parts of its prompt that other requests may share.
  std::vector<PromptPartId> parts{};
  bool hasBegun = false;        //!< the first token had arrived
  base::Duration writingTime{}; //!< from the first token to the last
  //! The answer has neither a length nor chunks and was not cut visibly, so
  //! that either the upstream ended it or a crash did.
  bool looksComplete = false;

  bool Has(const Trait& aTrait) const;
  //! Whether the answer was written for so long that its prompt can't have
  //! crashed the upstream, see kProvenWritingTime.
  bool HasProvenParts() const;
};

}
