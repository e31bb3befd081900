#pragma once

#include "decision/decisiontypes.h"

#include <functional>
#include <memory>
#include <string>

namespace hemlockgauge::traffic {

//! HTTP response of an admin page.
struct AdminPage
{
  int status = 200;
  std::string contentType = "application/json";
  std::string body;
};

//! Interface of the control thread for the traffic threads. All methods are
//! thread-safe.
class IControl
{
public:
  virtual ~IControl() = default;

  //! Queues an event for the decision core.
  virtual void Post(decision::Event aEvent) = 0;
  virtual bool IsReady() const = 0;
  //! Returns the admin page at aPath, status 404 if there is none.
  virtual AdminPage RenderAdminPage(const std::string& aPath,
                                    const std::string& aQuery) = 0;
};

//! Interface of the traffic threads for the control thread.
class ITraffic
{
public:
  virtual ~ITraffic() = default;

  virtual void Start(IControl& aControl) = 0;
  //! Sends a request to the chosen upstream; its AttemptEnded event follows.
  virtual void Send(const decision::SendRequest& aSend) = 0;
  //! Answers a request with an error, or aborts an answer that has begun.
  virtual void Refuse(const decision::RefuseRequest& aRefusal) = 0;
  //! Adds or replaces a service document for new requests.
  virtual void SetDocument(const decision::DocumentInForce& aDocument) = 0;
  //! Stops accepting connections; requests in progress continue.
  virtual void CloseListener() = 0;
  //! Number of requests whose answer is not yet completely sent.
  virtual std::size_t ActiveRequestCount() const = 0;
  //! After CloseListener: whether all caller connections have ended, so that
  //! Stop aborts no request. Closes idle connections, so poll it until true.
  virtual bool IsDrained() = 0;
  //! Stops all threads; returns the number of requests that were aborted.
  virtual std::size_t Stop() = 0;
};

}
