#pragma once

#include "gateway/gatewaytypes.h"

#include <string>

namespace hemlockgauge::gateway {

//! How callers and this router spell what they tell each other.
class ICallerDialect
{
public:
  virtual ~ICallerDialect() = default;

  //! Throws Error(BadValue) if the head says what can't be meant.
  virtual CallerRequest Decode(http::RequestHead&& aHead) const = 0;
  //! Status line and fields of an upstream's answer, without framing.
  virtual std::string EncodeHead(const UpstreamAnswer& aAnswer) const = 0;
  //! Status line and fields of an answer of our own, without framing.
  virtual std::string EncodeOwn(const OwnAnswer& aAnswer) const = 0;
};

}
