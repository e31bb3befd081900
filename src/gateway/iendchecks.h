#pragma once

#include "base/address.h"
#include "base/basetypes.h"
#include "quarantine/crashchecks.h"

namespace hemlockgauge::gateway {

//! Receives the result of a check by IEndChecks.
class IEndCheckReader
{
public:
  virtual ~IEndCheckReader() = default;

  virtual void OnEndChecked(quarantine::CheckResult aResult) = 0;
};

//! Tells whether an upstream still serves after a response of it ended with its
//! connection. A crash closes connections as the end of a response does.
class IEndChecks
{
public:
  virtual ~IEndChecks() = default;

  //! aReader is called with the result unless Cancel is called before.
  virtual void Await(base::UpstreamId aUpstream,
                     const base::Address& aAddress,
                     IEndCheckReader& aReader) = 0;
  virtual void Cancel(IEndCheckReader& aReader) = 0;
};

}
