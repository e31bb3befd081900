#pragma once

#include "decision/decisiontypes.h"

#include <functional>
#include <memory>
#include <string>

namespace hemlockgauge::traffic {

//! Answers of the operators' pages; called on a traffic thread.
struct AdminPage
{
  int status = 200;
  std::string contentType = "application/json";
  std::string body;
};

//! What the traffic threads ask of the control thread.
class IControl
{
public:
  virtual ~IControl() = default;

  virtual void Post(decision::Event aEvent) = 0;
  virtual bool IsReady() const = 0;
  virtual AdminPage Admin(const std::string& aPath,
                          const std::string& aQuery) = 0;
};

//! The traffic threads, as the control thread sees them.
class ITraffic
{
public:
  virtual ~ITraffic() = default;

  virtual void Start(IControl& aControl) = 0;
  virtual void Send(const decision::SendRequest& aSend) = 0;
  virtual void Refuse(const decision::RefuseRequest& aRefusal) = 0;
  virtual void SetDocument(const decision::DocumentInForce& aDocument) = 0;
  //! Stops taking connections; what is in progress goes on.
  virtual void CloseListener() = 0;
  //! Requests whose callers have not got all of their answer.
  virtual std::size_t Active() const = 0;
  //! After CloseListener: whether nothing more can come from any caller, so
  //! that Stop cuts nothing. To be asked again until it is so.
  virtual bool IsQuiet() = 0;
  //! Ends everything; returns how many requests were cut.
  virtual std::size_t Stop() = 0;
};

}
