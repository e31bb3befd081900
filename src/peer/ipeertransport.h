#pragma once

#include "base/address.h"
#include "decision/decisiontypes.h"

#include <functional>

namespace hemlockgauge::peer {

//! Carries frames between routers; all calls on the control thread.
class IPeerTransport
{
public:
  using FrameHandler =
    std::function<void(decision::Frame aFrame, std::size_t aBytes)>;
  using LinkLostHandler = std::function<void(decision::RouterId aRouter)>;

  virtual ~IPeerTransport() = default;

  virtual void Listen(const base::Address& aAddress,
                      FrameHandler aOnFrame,
                      LinkLostHandler aOnLinkLost) = 0;
  //! Delivers at most once; a lost frame is not an error.
  virtual void Send(decision::RouterId aRouter,
                    const base::Address& aAddress,
                    const decision::Frame& aFrame) = 0;
  virtual void Close() = 0;
  virtual std::uint64_t BadFrames() const = 0;
};

}
