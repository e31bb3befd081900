#pragma once

#include "base/address.h"
#include "decision/decisiontypes.h"

#include <functional>

namespace hemlockgauge::peer {

//! Sends and receives frames between routers. Call it on the control thread
//! only; handlers run there too.
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
  //! Queues a frame. It may be lost, which is not reported as an error, or be
  //! sent again after a reconnect; the receiver drops duplicates by sequence.
  virtual void Send(decision::RouterId aRouter,
                    const base::Address& aAddress,
                    const decision::Frame& aFrame) = 0;
  virtual void Close() = 0;
  //! Number of received frames that were invalid.
  virtual std::uint64_t BadFrames() const = 0;
};

}
