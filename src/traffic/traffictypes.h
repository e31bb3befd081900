#pragma once

#include "base/basetypes.h"
#include "base/verdict.h"
#include "document/documenttypes.h"
#include "traffic/memorybudget.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockgauge::traffic {

//! A request as received from a caller, with the fields that the admission
//! filters set.
struct CallerRequest
{
  base::RequestId id{};
  std::string idText; //!< unique in the fleet; sent to upstream and caller
  std::string method;
  std::string path;
  std::string query;
  std::string contentType;
  std::string idempotencyKey; //!< forwarded unchanged
  std::string bearerKey;      //!< never logged; wiped after authentication
  std::string body;           //!< never logged
  MemoryShare memoryShare;    //!< of HeldBytes
  std::shared_ptr<const document::ServiceDocument> service;
  const document::Workspace* workspace = nullptr;
  bool repeatable = false;
  base::TimePoint receivedAt{};
  base::TimePoint deadline{};

  //! Memory of what the caller sent, in bytes.
  std::size_t HeldBytes() const
  {
    return path.capacity() + query.capacity() + contentType.capacity() +
           idempotencyKey.capacity() + bearerKey.capacity() + body.capacity();
  }
};

//! An error response that the router generates.
struct Refusal
{
  int status = 503;
  std::string reason;
  base::Verdict verdict = base::Verdict::NotRun;
  base::Duration retryAfter{}; //!< 0: retrying is useless
};

}
