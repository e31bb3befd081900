#pragma once

#include "gateway/gatewaytypes.h"

#include <string>

namespace hemlockgauge::gateway {

//! Encodes requests to upstreams and decodes their responses.
class IUpstreamCodec
{
public:
  virtual ~IUpstreamCodec() = default;

  //! Returns the complete HTTP request with its body.
  virtual std::string Encode(const CallerRequest& aRequest,
                             const SendContext& aContext) const = 0;
  virtual UpstreamResponse Decode(http::ResponseHead&& aHead) const = 0;
};

}
