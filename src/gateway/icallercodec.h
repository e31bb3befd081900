#pragma once

#include "gateway/gatewaytypes.h"

#include <string>

namespace hemlockgauge::gateway {

//! Decodes requests of callers and encodes the responses to them.
class ICallerCodec
{
public:
  virtual ~ICallerCodec() = default;

  //! Throws Error(BadValue) if a header field has an invalid value.
  virtual CallerRequest Decode(http::RequestHead&& aHead) const = 0;
  //! Returns the status line and header fields of an upstream's response,
  //! without the fields for message framing.
  virtual std::string EncodeHead(const UpstreamResponse& aAnswer) const = 0;
  //! Returns the status line and header fields of a response that the router
  //! generates, without the fields for message framing.
  virtual std::string EncodeLocalReply(const LocalReply& aAnswer) const = 0;
};

}
