#pragma once

#include "gateway/gatewaytypes.h"

#include <string>

namespace hemlockgauge::gateway {

//! Encodes requests to upstreams and decodes their responses.
class IUpstreamCodec
{
public:
  virtual ~IUpstreamCodec() = default;

  //! Returns the head of the HTTP request, which its body follows unchanged.
  virtual std::string EncodeHead(const CallerRequest& aRequest,
                                 const SendContext& aContext) const = 0;
  virtual UpstreamResponse Decode(http::ResponseHead&& aHead) const = 0;
};

}
