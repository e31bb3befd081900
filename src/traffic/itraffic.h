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

  virtual void Post(decision::Event aEvent) = 0;
  virtual bool IsReady() const = 0;
  virtual AdminPage Admin(const std::string& aPath,
                          const std::string& aQuery) = 0;
};

//! Interface of the traffic threads for the control thread.
class ITraffic
{
public:
  virtual ~ITraffic() = default;

  virtual void Start(IControl& aControl) = 0;
  virtual void Send(const decision::SendRequest& aSend) = 0;
  virtual void Refuse(const decision::RefuseRequest& aRefusal) = 0;
  virtual void SetDocument(const decision::DocumentInForce& aDocument) = 0;
  //! Stops accepting connections; requests in progress continue.
  virtual void CloseListener() = 0;
  //! Number of requests whose answer is not yet completely sent.
  virtual std::size_t Active() const = 0;
  //! After CloseListener: whether all caller connections have ended, so that
  //! Stop aborts no request. Closes idle connections, so poll it until true.
  virtual bool IsQuiet() = 0;
  //! Stops all threads; returns the number of requests that were aborted.
  virtual std::size_t Stop() = 0;
};

}
