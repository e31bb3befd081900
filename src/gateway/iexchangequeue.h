#pragma once

#include "base/enumnames.h"
#include "fleet/waitingqueue.h"

#include <cstdint>

namespace hemlockgauge::gateway {

//! How the wait of a request for an upstream ended.
enum class WaitEnd : std::uint8_t
{
  Placed,
  Refused,  //!< not placed in time, or no longer allowed to wait
  Gone,     //!< the caller closed its connection
  Stopped,  //!< the router is stopping
  Replaced, //!< a request with precedence took its place in the queue
};
inline constexpr auto kWaitEndNames = base::MakeEnumNames<WaitEnd>("placed",
                                                                   "refused",
                                                                   "gone",
                                                                   "stopped",
                                                                   "replaced");

//! A request that waits for an upstream. The queue has removed it before it
//! calls one of the methods.
class IWaitingExchange
{
public:
  virtual ~IWaitingExchange() = default;

  //! The request is to be placed again. It may wait again if it is refused.
  virtual void OnTurn() = 0;
  //! The request has to be refused.
  virtual void OnWaitEnded(WaitEnd aEnd) = 0;
};

//! The requests of this router that wait for an upstream.
class IExchangeQueue
{
public:
  virtual ~IExchangeQueue() = default;

  //! Lets a request wait. aRequest.id is set by the queue. Returns false if it
  //! may not wait.
  virtual bool Wait(fleet::WaitingRequest aRequest,
                    IWaitingExchange& aExchange) = 0;
  //! Ends the wait of a request, if it waits.
  virtual void Remove(IWaitingExchange& aExchange) = 0;
};

}
