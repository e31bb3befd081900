#pragma once

#include "gateway/gatewaytypes.h"

#include <string>

namespace hemlockgauge::gateway {

//! How this router and upstreams spell what they tell each other.
class IUpstreamDialect
{
public:
  virtual ~IUpstreamDialect() = default;

  //! The whole request, with its body.
  virtual std::string Encode(const CallerRequest& aRequest,
                             const SendContext& aContext) const = 0;
  virtual UpstreamAnswer Decode(http::ResponseHead&& aHead) const = 0;
};

}
